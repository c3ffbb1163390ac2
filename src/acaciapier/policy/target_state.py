"""What one instance knows about the load of one target."""

import math
from collections import deque

from ..core.clock import Clock, to_ms, to_s
from ..core.ids import Fingerprint
from .models import Load, TargetView

MAX_HISTORY = 64
DEFAULT_SLOTS = 4
OVERDUE_GAP_S = 0.25


class TargetState:
    """Own calls in flight at a target, and the newest load that it reported.

    Parameters
    ----------
    view : TargetView
        The target.
    clock : Clock
        Source of monotonic time.
    report_lag_ms : float
        Age after which a report has lost most of its weight.
    """

    def __init__(self, view: TargetView, clock: Clock, report_lag_ms: float):
        self.view = view
        self.load: Load | None = None
        self._clock = clock
        self._report_lag_ms = report_lag_ms
        self._measured_s = 0.0
        self._own_at_measure = 0
        self._in_flight: dict[Fingerprint, list[float]] = {}
        self._outstanding = 0
        self._overdue_at_s = float("-inf")
        self._history: deque[tuple[float, int]] = deque(maxlen=MAX_HISTORY)

    @property
    def outstanding(self) -> int:
        """Own calls in flight."""
        return self._outstanding

    @property
    def fingerprints(self):
        """Fingerprints of the own calls in flight."""
        return self._in_flight.keys()

    @property
    def slots(self) -> int:
        """Calls that the target runs at once, as it reported last."""
        return max(self.load.slots, 1) if self.load else DEFAULT_SLOTS

    def sent(self, fingerprint: Fingerprint) -> None:
        """Count a call as in flight."""
        now_s = self._clock.monotonic_s()
        self._in_flight.setdefault(fingerprint, []).append(now_s)
        self._change(+1)

    def ended(self, fingerprint: Fingerprint) -> bool:
        """Count a call as ended; False if it was not in flight."""
        started = self._in_flight.get(fingerprint)
        if not started:
            return False
        started.pop(0)
        if not started:
            del self._in_flight[fingerprint]
        self._change(-1)
        return True

    def reported(self, load: Load) -> None:
        """Keep a reported load unless a newer one is known."""
        measured_s = self._clock.monotonic_s() - to_s(load.age_ms)
        if self.load is not None and measured_s < self._measured_s:
            return
        self.load = load
        self._measured_s = measured_s
        self._own_at_measure = self._own_at(measured_s)

    def others(self) -> float | None:
        """Return the calls of other instances in the last report, or None."""
        if self.load is None:
            return None
        return max(0, self.load.running + self.load.queued - self._own_at_measure)

    def report_weight(self) -> float:
        """Return the weight of the last report: 1 when fresh, towards 0 with age."""
        if self.load is None:
            return 0.0
        age_ms = to_ms(self._clock.monotonic_s() - self._measured_s)
        return math.exp(-max(age_ms, 0.0) / self._report_lag_ms)

    def oldest_age_ms(self) -> float:
        """Return the age of the oldest own call in flight, 0 without any."""
        if not self._in_flight:
            return 0.0
        oldest_s = min(started[0] for started in self._in_flight.values())
        return to_ms(self._clock.monotonic_s() - oldest_s)

    def may_note_overdue(self) -> bool:
        """Return True at most once per `OVERDUE_GAP_S`."""
        now_s = self._clock.monotonic_s()
        if now_s - self._overdue_at_s < OVERDUE_GAP_S:
            return False
        self._overdue_at_s = now_s
        return True

    def _change(self, by: int) -> None:
        self._outstanding += by
        self._history.append((self._clock.monotonic_s(), self._outstanding))

    def _own_at(self, moment_s: float) -> int:
        for at_s, outstanding in reversed(self._history):
            if at_s <= moment_s:
                return outstanding
        return self._history[0][1] if len(self._history) == MAX_HISTORY else 0
