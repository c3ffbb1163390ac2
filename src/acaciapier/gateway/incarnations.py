"""Decides when the incarnation of a worker is checked, and what its report means.

A worker may start again under its id and address with another software version. Until
its new entry is known, its id and address still lead to it.
"""

from collections.abc import Collection
from enum import Enum

from ..core.clock import to_s
from .models import SoftwareVersion, Worker, WorkerKey

MAX_REMEMBERED_WORKERS = 2_000
"""Number of incarnations of which something is remembered; the oldest are forgotten
first."""

NO_REPORT_PERIOD_MS = 5_000.0
"""Time after a failed check in which new streams are not delayed by another one."""


class Verdict(Enum):
    """Whether a worker is the incarnation that is listed."""

    SAME = "same"
    DIFFERENT = "different"
    UNKNOWN = "unknown"


class Incarnations:
    """Records what was learned of the listed incarnations of workers."""

    def __init__(self):
        self._failed_s: dict[WorkerKey, float] = {}
        """Last failures of connections since the incarnation was last confirmed."""
        self._no_report_s: dict[WorkerKey, float] = {}
        """Times of the last checks that failed."""
        self._proved_s: dict[WorkerKey, float] = {}
        """Times at which the last reports with the listed start were asked for."""
        self._successors_ms: dict[WorkerKey, int] = {}
        """Other starts that reports named."""
        self._wanted_s: dict[WorkerKey, float] = {}
        """When the last connections were opened that reports in progress may prove."""

    def record_failure(self, worker: Worker, now_s: float) -> None:
        """Record that a connection to a worker was refused or broken."""
        if worker.started_ms:
            _remember(self._failed_s, worker.key, now_s)

    def needs_check(
        self,
        worker: Worker,
        version: SoftwareVersion | None,
        listed_versions: Collection[SoftwareVersion],
        now_s: float,
    ) -> bool:
        """Return whether the incarnation is checked before a stream is sent.

        Parameters
        ----------
        worker : Worker
            The listed incarnation.
        version : SoftwareVersion or None
            Version of the stream's events so far; None if it has none yet.
        listed_versions : collection of SoftwareVersion
            Versions of the workers of its service.
        now_s : float
            Current time.
        """
        if not worker.started_ms:
            return False
        if version is not None:
            return True
        if self._lacks_report(worker, now_s):
            return False
        return len(listed_versions) > 1 or worker.key in self._failed_s

    def is_proved(self, worker: Worker, opened_s: float) -> bool:
        """Return whether a connection to a worker leads to the listed incarnation.

        An incarnation starts before it is listed, and two of a worker never run at the
        same time. So one that reports its start was reached by all connections that
        were opened for it before, on whatever path. Only its identity is compared, no
        time of the worker's clock.

        Parameters
        ----------
        worker : Worker
            The incarnation for which the connection was opened.
        opened_s : float
            Time at which it was open.
        """
        if not worker.started_ms:
            return True
        proved_s = self._proved_s.get(worker.key)
        return proved_s is not None and opened_s <= proved_s

    def is_successor(self, worker: Worker, listed: Worker) -> bool:
        """Return whether `listed` is what was found in the place of `worker`."""
        return self._successors_ms.get(worker.key) == listed.started_ms

    def wants_report(
        self, worker: Worker, opened_s: float, now_s: float, after_check: bool = False
    ) -> bool:
        """Return whether to ask for a report now, which proves a connection.

        At most one is in progress for a worker: it proves all connections that were
        opened before. One follows a check that got no report in time (`after_check`).
        """
        if self.is_proved(worker, opened_s):
            return False
        in_progress = worker.key in self._wanted_s
        if self._lacks_report(worker, now_s) and not (in_progress or after_check):
            return False
        wanted_s = self._wanted_s.get(worker.key, opened_s)
        self._wanted_s[worker.key] = max(wanted_s, opened_s)
        return not in_progress

    def end_report(self, worker: Worker, verdict: Verdict) -> bool:
        """Return whether to ask again, for connections opened after the question."""
        wanted_s = self._wanted_s[worker.key]
        if verdict is Verdict.SAME and not self.is_proved(worker, wanted_s):
            return True
        del self._wanted_s[worker.key]
        return False

    def judge(self, worker: Worker, started_ms: int | None, asked_s: float) -> Verdict:
        """Return what the report of a worker says, and record it.

        Parameters
        ----------
        worker : Worker
            The listed incarnation.
        started_ms : int or None
            Start time in the report; None if there is no report, or none in it.
        asked_s : float
            Time at which the report was asked for.
        """
        if started_ms is None:
            _remember(self._no_report_s, worker.key, asked_s)
            return Verdict.UNKNOWN
        if started_ms != worker.started_ms:
            _remember(self._successors_ms, worker.key, started_ms)
            return Verdict.DIFFERENT
        if self._no_report_s.get(worker.key, asked_s) <= asked_s:
            self._no_report_s.pop(worker.key, None)
        if self._failed_s.get(worker.key, asked_s) <= asked_s:
            self._failed_s.pop(worker.key, None)
        proved_s = max(asked_s, self._proved_s.get(worker.key, asked_s))
        _remember(self._proved_s, worker.key, proved_s)
        return Verdict.SAME

    def _lacks_report(self, worker: Worker, now_s: float) -> bool:
        """Return whether the worker gave no report lately."""
        no_report_s = self._no_report_s.get(worker.key)
        return no_report_s is not None and now_s < no_report_s + to_s(
            NO_REPORT_PERIOD_MS
        )


def _remember(memory: dict[WorkerKey, float], key: WorkerKey, value: float) -> None:
    """Set the newest entry of a bounded memory and drop the oldest if it is full."""
    memory.pop(key, None)
    memory[key] = value
    if len(memory) > MAX_REMEMBERED_WORKERS:
        del memory[next(iter(memory))]
