"""Decisions on the request path: routing, limits, retries and quarantine."""

from .models import (
    CallOutcome,
    CallReport,
    CrashRecord,
    CrashRecordKind,
    Load,
    Permit,
    PoolLimits,
    Refused,
    ReportedLoad,
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
    "Load",
    "PathPolicy",
    "Permit",
    "PolicySettings",
    "PoolLimits",
    "Refused",
    "ReportedLoad",
    "RetryRule",
    "StageEstimate",
    "TargetView",
    "WorkspaceLimits",
]
