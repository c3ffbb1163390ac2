"""Which workers of a service an explanation shows, and how many it only counts."""

import math
from collections import Counter
from collections.abc import Collection, Sequence

from ...wire.messages.explain import WorkerExplanation
from ..catalogue import Catalogue
from ..models import ServiceName, Worker
from ..worker_eligibility import Ineligibility

MAX_WORKERS = 500
"""Workers that one explanation shows at most; each takes about 100 bytes."""


def listed_workers(
    rows: Sequence[WorkerExplanation],
    chosen: str,
    catalogue: Catalogue,
    service: ServiceName,
    allowed_regions: Collection[str],
    software_version: str | None,
    max_workers: int,
) -> tuple[tuple[WorkerExplanation, ...], tuple[tuple[str, int], ...]]:
    """Return the workers to show, and the number of the others by reason.

    `rows` are those that a request may use at all; those that it must not use are
    added. The chosen worker comes first, then the others by their expected time.
    """
    listed = [row for row in rows if row.worker]
    known = {row.worker for row in listed}
    for worker in catalogue.workers.values():
        if worker.service != service or worker.id in known:
            continue
        reason = catalogue.eligibility.reason(worker, software_version, allowed_regions)
        listed.append(_excluded(worker, reason))
    listed.sort(
        key=lambda row: (
            row.worker != chosen,
            math.inf if row.expected_ms is None else row.expected_ms,
            bool(row.reason),
            row.worker,
        )
    )
    count = max(0, min(max_workers, MAX_WORKERS))
    others = Counter(row.reason for row in listed[count:])
    return tuple(listed[:count]), tuple(sorted(others.items()))


def _excluded(worker: Worker, reason: Ineligibility | None) -> WorkerExplanation:
    return WorkerExplanation(
        worker=worker.id,
        data_centre=worker.data_centre,
        used_slots=0,
        slots=worker.slots,
        backlog_ms=0.0,
        reported_slowdown=None,
        report_age_ms=None,
        measured_slowdown=1.0,
        expected_ms=None,
        reason="not_listed" if reason is None else reason.value,
    )
