"""Claims that ensure that a non-repeatable request runs at most once."""

from .interfaces import MembershipView, PeerNetwork
from .models import (
    ClaimRequest,
    ClaimResult,
    Done,
    Early,
    Expired,
    Granted,
    Invalid,
    MayHaveRun,
    Reused,
    Running,
    Unavailable,
)
from .partition import Partitioner
from .service import ClaimService
from .window import ClaimWindow

__all__ = [
    "ClaimRequest",
    "ClaimResult",
    "ClaimService",
    "ClaimWindow",
    "Done",
    "Early",
    "Expired",
    "Granted",
    "Invalid",
    "MayHaveRun",
    "MembershipView",
    "Partitioner",
    "PeerNetwork",
    "Reused",
    "Running",
    "Unavailable",
]
