"""Messages by which operators act on instances."""

from .base import Message
from .quarantine import CrashRecordEntry


class DrainInstance(Message, frozen=True):
    """Asks an instance to answer what is in flight and then to end."""

    author: str


class AskStrikes(Message, frozen=True):
    """Asks for all records of the quarantine."""


class AllStrikes(Message, frozen=True):
    """All records of the quarantine that an instance holds."""

    records: tuple[CrashRecordEntry, ...]


class AskStatus(Message, frozen=True):
    """Asks an instance which configuration it has in force."""


class StatusAnswer(Message, frozen=True):
    """Number in force, and whether the instance knows it to be the newest."""

    configuration_number: int
    freshness: str
