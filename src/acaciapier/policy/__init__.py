"""Decisions on the request path: routing, limits, retries and quarantine."""

from .models import (
    CallOutcome,
    CallReport,
    HeardLoad,
    Load,
    Permit,
    PoolLimits,
    Refused,
    StageEstimate,
    Strike,
    StrikeKind,
    TargetView,
    WorkspaceLimits,
)
from .path import PathPolicy
from .settings import Choice, PolicySettings, RetryRule

__all__ = [
    "CallOutcome",
    "CallReport",
    "Choice",
    "HeardLoad",
    "Load",
    "PathPolicy",
    "Permit",
    "PolicySettings",
    "PoolLimits",
    "Refused",
    "RetryRule",
    "StageEstimate",
    "Strike",
    "StrikeKind",
    "TargetView",
    "WorkspaceLimits",
]
