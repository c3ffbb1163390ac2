"""Decisions on the request path: routing, limits, retries and quarantine."""

from .models import (
    CallOutcome,
    CallReport,
    CrashRecord,
    CrashRecordKind,
    HeardLoad,
    Load,
    Permit,
    PoolLimits,
    Refused,
    StageEstimate,
    TargetView,
    WorkspaceLimits,
)
from .path import PathPolicy
from .settings import Choice, PolicySettings, RetryRule

__all__ = [
    "CallOutcome",
    "CallReport",
    "Choice",
    "CrashRecord",
    "CrashRecordKind",
    "HeardLoad",
    "Load",
    "PathPolicy",
    "Permit",
    "PolicySettings",
    "PoolLimits",
    "Refused",
    "RetryRule",
    "StageEstimate",
    "TargetView",
    "WorkspaceLimits",
]
