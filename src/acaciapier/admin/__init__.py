"""The administration API."""

from .application import AdminApplication
from .interfaces import Costs, Drains, FleetStatus, Releases
from .operations import FleetControls
from .operators import Operator, Operators, Role

__all__ = [
    "AdminApplication",
    "Costs",
    "Drains",
    "FleetControls",
    "FleetStatus",
    "Operator",
    "Operators",
    "Releases",
    "Role",
]
