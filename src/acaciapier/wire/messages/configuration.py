"""Messages that carry accepted configuration between instances."""

from ...objects.changes import Change, DeletedRecord, ObjectRecord
from .base import Message


class ChangeRumour(Message, frozen=True):
    """A change that was just accepted."""

    change: Change


class NumberRumour(Message, frozen=True):
    """The number of a change that is too large for a rumour."""

    number: int


class ChangesQuery(Message, frozen=True):
    """Asks for the changes after `number`."""

    number: int


class ChangesAnswer(Message, frozen=True):
    """Changes after the asked-for number, and how fresh the sender is.

    Parameters
    ----------
    number : int
        Number that the sender holds.
    age_ms : float
        Time since the sender knew this to be the newest; negative if never.
    changes : tuple of Change
        Consecutive changes from the one after the asked-for number; empty if
        there are none, or if the sender keeps none that far back.
    """

    number: int
    age_ms: float
    changes: tuple[Change, ...]


class StateQuery(Message, frozen=True):
    """Asks for part `index` of the state at `number`, or of the newest if 0."""

    number: int
    index: int


class StateAnswer(Message, frozen=True):
    """One part of a state.

    Parameters
    ----------
    number : int
        Number of the state.
    parts : int
        How many parts the state has; 0 if that state is no longer kept.
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
