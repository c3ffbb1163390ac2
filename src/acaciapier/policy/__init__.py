"""Decisions on the request path: routing, limits, retries and quarantine."""

from ..core.lazy_imports import lazy_names

_MODULES = {
    "CallOutcome": ".models",
    "CallReport": ".models",
    "Choice": ".settings",
    "CrashRecord": ".models",
    "CrashRecordKind": ".models",
    "Load": ".models",
    "PathPolicy": ".path",
    "Permit": ".models",
    "PolicySettings": ".settings",
    "PoolLimits": ".models",
    "Refused": ".models",
    "ReportedLoad": ".models",
    "RetryRule": ".settings",
    "StageEstimate": ".models",
    "TargetView": ".models",
    "WorkspaceLimits": ".models",
}

__all__ = [*_MODULES]
__getattr__ = lazy_names(__name__, _MODULES)
