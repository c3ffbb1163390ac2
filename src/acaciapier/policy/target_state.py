"""What one instance knows about the load of one target."""

import math
from collections import deque
from dataclasses import dataclass, replace

from ..core.clock import Clock, to_ms, to_s
from ..core.ids import Fingerprint
from .models import Load, TargetView

MAX_HISTORY = 64
DEFAULT_SLOTS = 4
OVERDUE_GAP_S = 0.25


@dataclass
class CallInFlight:
    """A call that was sent and has not ended.

    Parameters
    ----------
    sent_s : float
        Time of sending.
    waiting_share : float
        Calls that were expected to be ahead in the queue, for each slot.
    answered : bool
        Whether a first part has arrived.
    """

    sent_s: float
    waiting_share: float
    answered: bool = False


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
        self._heard = False
        self._measured_s = 0.0
        self._own_at_measure = 0
        self._in_flight: dict[Fingerprint, list[CallInFlight]] = {}
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

    def sent(self, fingerprint: Fingerprint, expected_calls: float) -> None:
        """Count a call as in flight, before which there were `expected_calls`."""
        waiting = max(0.0, expected_calls + 1.0 - self.slots) / self.slots
        call = CallInFlight(self._clock.monotonic_s(), waiting)
        self._in_flight.setdefault(fingerprint, []).append(call)
        self._change(+1)

    def answered(self, fingerprint: Fingerprint) -> CallInFlight | None:
        """Note that the first part of a call's answer has arrived."""
        for call in self._in_flight.get(fingerprint, ()):
            if not call.answered:
                call.answered = True
                return call
        return None

    def ended(self, fingerprint: Fingerprint) -> CallInFlight | None:
        """Take a call out of those in flight; None if it is not among them."""
        calls = self._in_flight.get(fingerprint)
        if not calls:
            return None
        call = calls.pop(0)
        if not calls:
            del self._in_flight[fingerprint]
        self._change(-1)
        return call

    def reported(self, load: Load, *, heard: bool) -> None:
        """Keep a reported load unless a newer one is known.

        `heard` tells whether the target reported it to this very instance.
        """
        measured_s = self._clock.monotonic_s() - to_s(load.age_ms)
        if self.load is not None and measured_s < self._measured_s:
            return
        self.load = load
        self._heard = heard
        self._measured_s = measured_s
        self._own_at_measure = self._own_at(measured_s)

    def take_heard(self) -> Load | None:
        """Return the load that the target reported here since the last call."""
        if not self._heard:
            return None
        self._heard = False
        age_ms = to_ms(self._clock.monotonic_s() - self._measured_s)
        return replace(self.load, age_ms=age_ms)

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

    def oldest_age_ms(self, *, unanswered: bool) -> float:
        """Return the age of the oldest own call in flight, 0 without any.

        With `unanswered`, only calls without a first part count. Calls before
        which a queue was expected never count.
        """
        sent = [
            call.sent_s
            for calls in self._in_flight.values()
            for call in calls
            if not (unanswered and call.answered) and not call.waiting_share
        ]
        if not sent:
            return 0.0
        return to_ms(self._clock.monotonic_s() - min(sent))

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
