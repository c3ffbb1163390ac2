"""State of one target as seen by one instance: own calls and reported load."""

import math
from collections import deque
from dataclasses import dataclass, replace

from ..core.clock import Clock, to_ms, to_s
from ..core.ids import Fingerprint
from .models import Load, TargetView

MAX_HISTORY_ENTRIES = 64
DEFAULT_SLOTS = 4
OVERDUE_CHECK_INTERVAL_S = 0.25


@dataclass
class CallInFlight:
    """A call that was sent and has not ended yet.

    Parameters
    ----------
    sent_s : float
        Time of sending.
    queued_per_slot : float
        Expected calls ahead in the queue when it was sent, per slot.
    answered : bool
        Whether the first part of the answer has arrived.
    """

    sent_s: float
    queued_per_slot: float
    answered: bool = False


class TargetState:
    """Own calls in flight to a target, and the newest load that it reported.

    Parameters
    ----------
    view : TargetView
        The target.
    clock : Clock
        Source of monotonic time.
    report_lag_ms : float
        Time constant with which the weight of a report decays.
    """

    def __init__(self, view: TargetView, clock: Clock, report_lag_ms: float):
        self.view = view
        self.load: Load | None = None
        self._clock = clock
        self._report_lag_ms = report_lag_ms
        self._unshared = False
        self._measured_at_s = 0.0
        self._own_calls_at_report = 0
        self._in_flight: dict[Fingerprint, list[CallInFlight]] = {}
        self._outstanding = 0
        self._overdue_checked_at_s = float("-inf")
        self._history: deque[tuple[float, int]] = deque(maxlen=MAX_HISTORY_ENTRIES)

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
        """Calls that the target can run concurrently, by its last report."""
        return max(self.load.slots, 1) if self.load else DEFAULT_SLOTS

    def sent(self, fingerprint: Fingerprint, expected_calls: float) -> None:
        """Count a call as in flight; `expected_calls` were expected before it."""
        queued_per_slot = max(0.0, expected_calls + 1.0 - self.slots) / self.slots
        call = CallInFlight(self._clock.monotonic_s(), queued_per_slot)
        self._in_flight.setdefault(fingerprint, []).append(call)
        self._change_outstanding(+1)

    def record_first_part(self, fingerprint: Fingerprint) -> CallInFlight | None:
        """Record that the first part of a call's answer has arrived."""
        for call in self._in_flight.get(fingerprint, ()):
            if not call.answered:
                call.answered = True
                return call
        return None

    def ended(self, fingerprint: Fingerprint) -> CallInFlight | None:
        """Remove a call from those in flight and return it; None if there is none."""
        calls = self._in_flight.get(fingerprint)
        if not calls:
            return None
        call = calls.pop(0)
        if not calls:
            del self._in_flight[fingerprint]
        self._change_outstanding(-1)
        return call

    def record_load(self, load: Load, *, direct: bool) -> None:
        """Store a reported load unless a newer one is present.

        `direct` is True if the target reported it to this instance, and False if
        a peer passed it on.
        """
        measured_s = self._clock.monotonic_s() - to_s(load.age_ms)
        if self.load is not None and measured_s < self._measured_at_s:
            return
        self.load = load
        self._unshared = direct
        self._measured_at_s = measured_s
        self._own_calls_at_report = self._outstanding_at(measured_s)

    def pop_unshared_load(self) -> Load | None:
        """Return the load reported directly since the last call, or None."""
        if not self._unshared:
            return None
        self._unshared = False
        age_ms = to_ms(self._clock.monotonic_s() - self._measured_at_s)
        return replace(self.load, age_ms=age_ms)

    def peer_calls(self) -> float | None:
        """Return the calls of other instances in the last report, or None.

        These are all reported calls minus the own calls in flight at that time.
        """
        if self.load is None:
            return None
        return max(0, self.load.running + self.load.queued - self._own_calls_at_report)

    def report_weight(self) -> float:
        """Return the weight of the last report: 1 if new, decaying to 0 with age."""
        if self.load is None:
            return 0.0
        age_ms = to_ms(self._clock.monotonic_s() - self._measured_at_s)
        return math.exp(-max(age_ms, 0.0) / self._report_lag_ms)

    def oldest_age_ms(self, *, unanswered: bool) -> float:
        """Return the age of the oldest own call in flight, or 0 if there is none.

        With `unanswered`, only calls without a first part of the answer count.
        Calls that were expected to queue never count.
        """
        sent_times_s = [
            call.sent_s
            for calls in self._in_flight.values()
            for call in calls
            if not (unanswered and call.answered) and not call.queued_per_slot
        ]
        if not sent_times_s:
            return 0.0
        return to_ms(self._clock.monotonic_s() - min(sent_times_s))

    def claim_overdue_check(self) -> bool:
        """Return True at most once per `OVERDUE_CHECK_INTERVAL_S`."""
        now_s = self._clock.monotonic_s()
        if now_s - self._overdue_checked_at_s < OVERDUE_CHECK_INTERVAL_S:
            return False
        self._overdue_checked_at_s = now_s
        return True

    def _change_outstanding(self, by: int) -> None:
        self._outstanding += by
        self._history.append((self._clock.monotonic_s(), self._outstanding))

    def _outstanding_at(self, time_s: float) -> int:
        for changed_at_s, outstanding in reversed(self._history):
            if changed_at_s <= time_s:
                return outstanding
        return self._history[0][1] if len(self._history) == MAX_HISTORY_ENTRIES else 0
