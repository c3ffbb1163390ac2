"""Clients of the targets: engines, encode and retrieve pools, and services."""

from .http import HttpTransport
from .models import CallAnswer, CallEnvelope, TargetBody, TokenBatch
from .transport import TokenStream, Transport

__all__ = [
    "CallAnswer",
    "CallEnvelope",
    "HttpTransport",
    "TargetBody",
    "TokenBatch",
    "TokenStream",
    "Transport",
]
