"""An instance's copy of the configuration, merged from several sources.

Merging does no I/O, and the number of the state never decreases.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum

from ..core.clock import Clock, to_ms, to_s
from ..objects import Change
from .log_state import state_from_parts
from .records import SnapshotPart
from .state import EMPTY_STATE, ConfigurationState
from .transitions import apply_change

STALENESS_BOUND_MS = 7_000.0
"""Time within which every instance applies an accepted change."""

MAX_PENDING_CHANGES = 256
MAX_RECENT_CHANGES = 64
MAX_RECENT_BYTES = 512 * 1024


class Freshness(Enum):
    """How recently a replica was known to hold the newest state."""

    CURRENT = "current"
    """It held every accepted change at some time within the staleness bound."""

    STALE = "stale"
    """Its last confirmation is older than the staleness bound."""

    UNKNOWN = "unknown"
    """It was never confirmed to hold the newest state."""


class ConfigurationReplica:
    """Merges changes and snapshots from any source, in any order.

    Parameters
    ----------
    clock : Clock
        Measures the age of the last confirmation.
    staleness_bound_ms : float
        Age of the last confirmation above which the replica is stale.

    Examples
    --------
    >>> replica = ConfigurationReplica(clock)  # doctest: +SKIP
    >>> replica.apply(change)  # doctest: +SKIP
    >>> replica.state.pipeline("quote")  # doctest: +SKIP
    """

    def __init__(self, clock: Clock, staleness_bound_ms: float = STALENESS_BOUND_MS):
        self._clock = clock
        self._staleness_bound_ms = staleness_bound_ms
        self._state = EMPTY_STATE
        self._pending: dict[int, Change] = {}
        self._recent: deque[Change] = deque()
        self._recent_bytes = 0
        self._highest_number = 0
        self._confirmed_s: float | None = None
        self._pending_confirmation: tuple[int, float] | None = None
        self._listeners: list[Callable[[ConfigurationState], None]] = []

    @property
    def state(self) -> ConfigurationState:
        """The current state; a request uses the state it started with to its end."""
        return self._state

    @property
    def number(self) -> int:
        """Number of the current state."""
        return self._state.number

    @property
    def highest_number(self) -> int:
        """Highest number of a change that is known to be accepted."""
        return max(self._highest_number, self.number)

    @property
    def is_behind(self) -> bool:
        """Whether accepted changes are known that are not applied here yet."""
        return self.number < self.highest_number

    @property
    def staleness_ms(self) -> float | None:
        """Time since the state was last confirmed as the newest; None if never."""
        if self._confirmed_s is None:
            return None
        return to_ms(self._clock.monotonic_s() - self._confirmed_s)

    @property
    def freshness(self) -> Freshness:
        """Freshness by the age of the last confirmation."""
        age_ms = self.staleness_ms
        if age_ms is None:
            return Freshness.UNKNOWN
        return (
            Freshness.CURRENT if age_ms <= self._staleness_bound_ms else Freshness.STALE
        )

    def on_change(self, listener: Callable[[ConfigurationState], None]) -> None:
        """Call `listener` with each new state, after it became current."""
        self._listeners.append(listener)

    def apply(self, change: Change) -> None:
        """Apply a change; one that arrives early waits for the changes before it."""
        self.record_number(change.number)
        if change.number <= self.number or change.number in self._pending:
            return
        self._pending[change.number] = change
        self._apply_pending()
        while len(self._pending) > MAX_PENDING_CHANGES:
            del self._pending[max(self._pending)]

    def load(self, parts: list[SnapshotPart]) -> None:
        """Replace the state by a snapshot, if the snapshot is newer."""
        number = parts[0].number
        self.record_number(number)
        if number <= self.number:
            return
        self._recent.clear()
        self._recent_bytes = 0
        self._set_state(state_from_parts(parts))
        self._apply_pending()

    def record_number(self, number: int) -> None:
        """Record that a change with this number was accepted."""
        self._highest_number = max(self._highest_number, number)

    def confirm(self, number: int, age_ms: float) -> None:
        """Record that `number` was the newest accepted number `age_ms` ago.

        The confirmation takes effect once the replica has reached that number.
        """
        self.record_number(number)
        confirmed_s = self._clock.monotonic_s() - to_s(age_ms)
        if number <= self.number:
            self._set_confirmed(confirmed_s)
        elif (
            self._pending_confirmation is None
            or confirmed_s > self._pending_confirmation[1]
        ):
            self._pending_confirmation = (number, confirmed_s)

    def changes_after(self, number: int, max_bytes: int) -> tuple[Change, ...]:
        """Return the retained consecutive changes after `number`, up to a size.

        The first change is returned even if it is larger than `max_bytes`.
        """
        found = []
        size_bytes = 0
        for change in self._recent:
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
            self._add_recent(change)
        for number in [
            pending_number
            for pending_number in self._pending
            if pending_number <= self.number
        ]:
            del self._pending[number]

    def _add_recent(self, change: Change) -> None:
        self._recent.append(change)
        self._recent_bytes += change.encoded_bytes
        while (
            len(self._recent) > MAX_RECENT_CHANGES
            or self._recent_bytes > MAX_RECENT_BYTES
        ):
            self._recent_bytes -= self._recent.popleft().encoded_bytes

    def _set_state(self, state: ConfigurationState) -> None:
        self._state = state
        if (
            self._pending_confirmation is not None
            and self._pending_confirmation[0] <= state.number
        ):
            self._set_confirmed(self._pending_confirmation[1])
            self._pending_confirmation = None
        for listener in self._listeners:
            listener(state)

    def _set_confirmed(self, confirmed_s: float) -> None:
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s
