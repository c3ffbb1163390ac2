"""Messages with which operators inspect and control instances."""

from .base import Message
from .quarantine import CrashRecordEntry


class DrainInstance(Message, frozen=True):
    """Requests that an instance completes its requests in flight and shuts down."""

    author: str


class FetchCrashRecords(Message, frozen=True, tag="AskStrikes"):
    """Requests all records of the quarantine."""


class CrashRecordList(Message, frozen=True, tag="AllStrikes"):
    """All records of the quarantine that an instance holds."""

    records: tuple[CrashRecordEntry, ...]


class FetchStatus(Message, frozen=True, tag="AskStatus"):
    """Requests the number of the configuration that an instance has in force."""


class StatusAnswer(Message, frozen=True):
    """Configuration number in force, and whether it is known to be the newest."""

    configuration_number: int
    freshness: str
