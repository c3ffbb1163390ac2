"""Client of the platform's object API, with its budget."""

from .budget import CallCount, Purpose, StoreBudget, Verb
from .client import ObjectStore
from .models import Listing, StoredObject, WatchBatch, WatchEvent, WatchEventType
from .readback import put_recognised

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
    "put_recognised",
]
