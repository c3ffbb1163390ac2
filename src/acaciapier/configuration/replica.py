"""A daemon's copy of the configuration: a pure merge whose number only rises."""

from collections import deque
from collections.abc import Callable
from enum import Enum

from ..core.clock import Clock, to_ms, to_s
from ..objects import Change
from .log_state import state_from_parts
from .records import SnapshotPart
from .state import EMPTY_STATE, ConfigurationState
from .transitions import apply_change

PROMISE_MS = 7_000.0
"""Time within which an accepted change is in force everywhere."""

MAX_PENDING = 256
MAX_KEPT_CHANGES = 64
MAX_KEPT_BYTES = 512 * 1024


class Freshness(Enum):
    """What a replica knows about how new its state is."""

    CURRENT = "current"
    """It held every accepted change at a moment within the promise."""

    STALE = "stale"
    """It has been cut off for longer than the promise."""

    UNKNOWN = "unknown"
    """It has never been confirmed to hold the newest state."""


class ConfigurationReplica:
    """Merges changes and snapshots from any source, in any order.

    Parameters
    ----------
    clock : Clock
        Measures how old the last confirmation is.
    promise_ms : float
        Age of a confirmation from which the replica counts as stale.

    Examples
    --------
    >>> replica = ConfigurationReplica(clock)  # doctest: +SKIP
    >>> replica.apply(change)  # doctest: +SKIP
    >>> replica.state.pipeline("quote")  # doctest: +SKIP
    """

    def __init__(self, clock: Clock, promise_ms: float = PROMISE_MS):
        self._clock = clock
        self._promise_ms = promise_ms
        self._state = EMPTY_STATE
        self._pending: dict[int, Change] = {}
        self._kept: deque[Change] = deque()
        self._kept_bytes = 0
        self._highest_number = 0
        self._confirmed_s: float | None = None
        self._awaited: tuple[int, float] | None = None
        self._listeners: list[Callable[[ConfigurationState], None]] = []

    @property
    def state(self) -> ConfigurationState:
        """The state in force here; keep it for the whole of a request."""
        return self._state

    @property
    def number(self) -> int:
        """Number of the state in force here."""
        return self._state.number

    @property
    def highest_number(self) -> int:
        """Highest number known to be accepted."""
        return max(self._highest_number, self.number)

    @property
    def is_behind(self) -> bool:
        """Whether changes are known to exist that are not held."""
        return self.number < self.highest_number

    @property
    def staleness_ms(self) -> float | None:
        """Time since the state was known to be the newest; None if never."""
        if self._confirmed_s is None:
            return None
        return to_ms(self._clock.monotonic_s() - self._confirmed_s)

    @property
    def freshness(self) -> Freshness:
        """Whether the state is within the promise."""
        age_ms = self.staleness_ms
        if age_ms is None:
            return Freshness.UNKNOWN
        return Freshness.CURRENT if age_ms <= self._promise_ms else Freshness.STALE

    def on_change(self, listener: Callable[[ConfigurationState], None]) -> None:
        """Call `listener` with each new state, once it is in force."""
        self._listeners.append(listener)

    def apply(self, change: Change) -> None:
        """Take in a change; one that comes early waits for those before it."""
        self.note_number(change.number)
        if change.number <= self.number or change.number in self._pending:
            return
        self._pending[change.number] = change
        self._apply_pending()
        while len(self._pending) > MAX_PENDING:
            del self._pending[max(self._pending)]

    def load(self, parts: list[SnapshotPart]) -> None:
        """Take over a snapshot if it is newer than the state in force."""
        number = parts[0].number
        self.note_number(number)
        if number <= self.number:
            return
        self._kept.clear()
        self._kept_bytes = 0
        self._set_state(state_from_parts(parts))
        self._apply_pending()

    def note_number(self, number: int) -> None:
        """Remember that a change of this number was accepted."""
        self._highest_number = max(self._highest_number, number)

    def confirm(self, number: int, age_ms: float) -> None:
        """Take in that `number` was the newest `age_ms` ago.

        It counts once that number is in force here.
        """
        self.note_number(number)
        moment_s = self._clock.monotonic_s() - to_s(age_ms)
        if number <= self.number:
            self._confirm_at(moment_s)
        elif self._awaited is None or moment_s > self._awaited[1]:
            self._awaited = (number, moment_s)

    def changes_after(self, number: int, max_bytes: int) -> tuple[Change, ...]:
        """Return consecutive kept changes after `number`, up to a size."""
        found = []
        size_bytes = 0
        for change in self._kept:
            if change.number <= number:
                continue
            if change.number != number + len(found) + 1:
                break
            size_bytes += change.encoded_bytes
            if found and size_bytes > max_bytes:
                break
            found.append(change)
        return tuple(found)

    def _apply_pending(self) -> None:
        while change := self._pending.pop(self.number + 1, None):
            self._set_state(apply_change(self._state, change))
            self._keep(change)
        for number in [one for one in self._pending if one <= self.number]:
            del self._pending[number]

    def _keep(self, change: Change) -> None:
        self._kept.append(change)
        self._kept_bytes += change.encoded_bytes
        while len(self._kept) > MAX_KEPT_CHANGES or self._kept_bytes > MAX_KEPT_BYTES:
            self._kept_bytes -= self._kept.popleft().encoded_bytes

    def _set_state(self, state: ConfigurationState) -> None:
        self._state = state
        if self._awaited is not None and self._awaited[0] <= state.number:
            self._confirm_at(self._awaited[1])
            self._awaited = None
        for listener in self._listeners:
            listener(state)

    def _confirm_at(self, moment_s: float) -> None:
        if self._confirmed_s is None or moment_s > self._confirmed_s:
            self._confirmed_s = moment_s
