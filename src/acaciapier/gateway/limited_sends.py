"""Sends to limited workers, by dispatcher.

Instances may disagree for seconds about who dispatches a service. Dispatchers therefore
report their sends in heartbeats, and each counts those of the others in its own pace.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..core.clock import to_s
from ..wire.messages.gateway import LimitedSends
from .models import WorkerKey

RECENT_SENDS_MS = 4_000.0
"""Time over which the sends to a worker are counted for logs and metrics, and after
which they are not reported any more; the users' rule on limits counts over as long."""

KEPT_SENDS_MS = 60_000.0
"""Time after the last send for which the totals at a worker are kept, so that a late
report counts nothing twice."""

MAX_REPORTS = 256
"""Number of reports of sends in a heartbeat."""


@dataclass(slots=True)
class _Sends:
    """Requests that one dispatcher has sent to a worker."""

    total: int
    last_s: float
    logged_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class NewSends:
    """Sends of another dispatcher that were not known before.

    Parameters
    ----------
    key : WorkerKey
        The worker.
    dispatcher : str
        Incarnation of the dispatcher.
    count : int
        Their number.
    is_first_report : bool
        Whether this dispatcher is new here, so that the sends may be old.
    """

    key: WorkerKey
    dispatcher: str
    count: int
    is_first_report: bool


class SendCounts:
    """Counts sends to limited workers by dispatcher.

    Parameters
    ----------
    own : str
        Incarnation of this instance, under which its sends are reported.
    """

    def __init__(self, own: str = ""):
        self._own = own
        self._own_total = 0
        self._sends: dict[WorkerKey, dict[str, _Sends]] = {}

    def record_own(self, key: WorkerKey, now_s: float) -> None:
        """Count a request that this instance sends, or grants to another one."""
        by_dispatcher = self._sends.setdefault(key, {})
        own = by_dispatcher.get(self._own)
        if own is None:
            # A total of this worker that was forgotten was not higher.
            own = by_dispatcher[self._own] = _Sends(self._own_total, now_s)
        self._own_total += 1
        own.total += 1
        own.last_s = now_s

    def merge(self, reports: Iterable[LimitedSends], now_s: float) -> list[NewSends]:
        """Record what a peer reported and return what was not known.

        Totals only grow, so reports may come late, repeatedly and by several ways.
        """
        new = []
        for report in reports:
            key, dispatcher = WorkerKey(report.worker), report.dispatcher
            by_dispatcher = self._sends.setdefault(key, {})
            known = by_dispatcher.get(dispatcher)
            known_total = 0 if known is None else known.total
            if dispatcher == self._own or report.total <= known_total:
                continue
            last_s = now_s - to_s(max(0.0, report.age_ms))
            new.append(
                NewSends(key, dispatcher, report.total - known_total, known is None)
            )
            if known is None:
                by_dispatcher[dispatcher] = _Sends(report.total, last_s)
            else:
                known.total, known.last_s = report.total, last_s
        return new

    def reports(self, now_s: float) -> tuple[LimitedSends, ...]:
        """Return the recent sends of all dispatchers, for a message to a peer.

        Those of others are handed on, as not all dispatchers reach one another.
        """
        reports = []
        for key, by_dispatcher in list(self._sends.items()):
            for dispatcher, sends in list(by_dispatcher.items()):
                age_ms = (now_s - sends.last_s) * 1_000.0
                if age_ms < RECENT_SENDS_MS:
                    total = sends.total
                    reports.append(LimitedSends(key, dispatcher, total, age_ms))
                elif age_ms > KEPT_SENDS_MS:
                    del by_dispatcher[dispatcher]
            if not by_dispatcher:
                del self._sends[key]
        return tuple(reports[:MAX_REPORTS])

    def is_sending(self, now_s: float) -> bool:
        """Return whether this instance sent something lately to any worker."""
        return any(self.is_sending_to(key, now_s) for key in self._sends)

    def is_sending_to(self, key: WorkerKey, now_s: float) -> bool:
        """Return whether this instance sent something lately to a worker."""
        own = self._sends.get(key, {}).get(self._own)
        return own is not None and now_s - own.last_s < to_s(RECENT_SENDS_MS)

    def joins(self, key: WorkerKey, now_s: float, quiet_ms: float) -> bool:
        """Return whether only other dispatchers sent something within a time."""
        since_s = now_s - to_s(quiet_ms)
        by_dispatcher = self._sends.get(key, {})
        own = by_dispatcher.get(self._own)
        if own is not None and own.last_s >= since_s:
            return False
        return any(sends.last_s >= since_s for sends in by_dispatcher.values())

    def should_log(self, new: NewSends, now_s: float) -> bool:
        """Return whether to log that a worker's limit is shared; once in a while."""
        sends = self._sends[new.key][new.dispatcher]
        if not self.is_sending_to(new.key, now_s):
            return False
        if now_s - sends.logged_s < to_s(RECENT_SENDS_MS):
            return False
        sends.logged_s = now_s
        return True
