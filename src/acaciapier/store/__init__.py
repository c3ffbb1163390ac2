"""Rate-limited client of the platform's object API."""

from .budget import CallCount, Purpose, StoreBudget, Verb
from .client import ObjectStore
from .models import Listing, StoredObject, WatchBatch, WatchEvent, WatchEventType
from .readback import put_with_readback

__all__ = [
    "CallCount",
    "Listing",
    "ObjectStore",
    "Purpose",
    "StoreBudget",
    "StoredObject",
    "Verb",
    "WatchBatch",
    "WatchEvent",
    "WatchEventType",
    "put_with_readback",
]
