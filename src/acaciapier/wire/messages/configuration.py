"""Messages that carry accepted changes and states between instances."""

from ...objects.changes import Change, DeletedRecord, ObjectRecord
from .base import Message


class ChangeGossip(Message, frozen=True, tag="ChangeRumour"):
    """Announces an accepted change, with its content."""

    change: Change


class NumberGossip(Message, frozen=True, tag="NumberRumour"):
    """Announces the number of a change that is too large for a gossip message."""

    number: int


class ChangesQuery(Message, frozen=True):
    """Requests the changes after `number`."""

    number: int


class ChangesAnswer(Message, frozen=True):
    """Answer to `ChangesQuery`, with the freshness of the sender.

    Parameters
    ----------
    number : int
        Number of the sender's current state.
    age_ms : float
        Time since this was last confirmed to the sender as the newest number;
        negative if never.
    changes : tuple of Change
        Consecutive changes, starting after the requested number. Empty if there
        are none, or if the sender does not retain the next one any more.
    """

    number: int
    age_ms: float
    changes: tuple[Change, ...]


class StateQuery(Message, frozen=True):
    """Requests part `index` of the state at `number`; 0 is the newest state."""

    number: int
    index: int


class StateAnswer(Message, frozen=True):
    """Answer to `StateQuery`: one part of a state.

    Parameters
    ----------
    number : int
        Number of the state.
    parts : int
        Number of parts of the state; 0 if the sender does not have that state.
    version_floor : int
        See `ConfigurationState`.
    objects, deleted : tuple
        The records in this part.
    """

    number: int
    parts: int
    version_floor: int = 0
    objects: tuple[ObjectRecord, ...] = ()
    deleted: tuple[DeletedRecord, ...] = ()
