"""What the admission to a chain of stages would answer, and why."""

from copy import deepcopy

from ...wire.messages.explain import ServiceExplanation
from .admission_queue import AdmissionEntry, AdmissionQueue
from .refusal import MIN_RETRY_MS


class AdmissionQueueView(AdmissionQueue):
    """Answers as the queue of an admission does, and changes nothing in it.

    Its lists are copies. Entries and the measured throughput are those of the queue,
    which neither of the methods used here changes.

    Parameters
    ----------
    queue : AdmissionQueue
        The queue in use.
    """

    def __init__(self, queue: AdmissionQueue):
        self.__dict__.update(queue.__dict__)
        self._on_time, self._late = list(self._on_time), list(self._late)
        self._started, self._refused = dict(self._started), dict(self._refused)
        self._pieces_by_kind = self._pieces_by_kind.copy()
        self._shares = deepcopy(self._shares)


def explain_admission(
    queue: AdmissionQueue, entry: AdmissionEntry, capacity_per_ms: float, now_s: float
) -> ServiceExplanation:
    """Return what would happen to a request that asks for admission now.

    A refusal names the average of the delays over which retries are spread.
    """
    view = AdmissionQueueView(queue)
    above = view.is_above_share(entry, now_s)
    waiting = view.waiting
    view.add(entry, now_s)
    outcome, cause, wait_ms, retry_after_ms = "waits", "", 0.0, 0.0
    if entry in view.pop_admitted(capacity_per_ms, now_s):
        outcome = "admitted"
    else:
        wait_ms = view.backlog_ms(capacity_per_ms)
        if entry in view.pop_infeasible(capacity_per_ms, now_s):
            outcome, cause = "refused", "overload"
            retry_after_ms = MIN_RETRY_MS + wait_ms / 2
    return ServiceExplanation(
        service="",
        dispatcher="",
        outcome=outcome,
        wait_ms=wait_ms,
        cause=cause,
        retry_after_ms=retry_after_ms,
        cost_ms=entry.average_ms,
        waiting=waiting,
        above_share=above,
    )
