"""Control of model engines: leases, fenced orders and roll-outs."""

from .client import Engines, HttpEngines
from .controller import EngineController
from .models import (
    ControlLimits,
    EngineRecord,
    EngineState,
    Holder,
    Wanted,
    WantedPools,
)

__all__ = [
    "ControlLimits",
    "EngineController",
    "EngineRecord",
    "EngineState",
    "Engines",
    "Holder",
    "HttpEngines",
    "Wanted",
    "WantedPools",
]
