"""What a placement considers of each worker, without an effect on later decisions."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from ..models import Worker
from ..worker_eligibility import Unavailability
from ..worker_limits import LimitsView
from .placement import Placement
from .slot_requests import SlotRequest, SlotReservation


@dataclass(frozen=True)
class WorkerAssessment:
    """What a placement considers of one worker, for a request.

    Parameters
    ----------
    worker : Worker
        The worker.
    held : int
        Its reserved slots.
    backlog_ms : float
        What runs there, less what is done, as time at the worker's present speed.
    slowdown, report_age_ms : float or None
        Slowdown that it reported, as it counts now, and the age of the last report.
    measured_slowdown : float
        Slowdown that the times of its answers show.
    expected_ms : float or None
        Time that is compared with that of other workers; None if it is not available.
    reason : Unavailability or None
        Why it is not used now.
    wait_ms : float or None
        For how long, if that is known.
    """

    worker: Worker
    held: int
    backlog_ms: float
    slowdown: float | None
    report_age_ms: float | None
    measured_slowdown: float
    expected_ms: float | None
    reason: Unavailability | None
    wait_ms: float | None


class PlacementView(Placement):
    """Decides as a placement does, and changes nothing in it.

    `choose` there counts the time that has passed at limits and keeps backlogs. Of this
    class only `choose`, `assess`, `rate_per_ms` and `expected_cost_ms` may be used.

    Parameters
    ----------
    placement : Placement
        The placement in use.
    limits : LimitsView
        The limits that it uses.
    """

    def __init__(self, placement: Placement, limits: LimitsView):
        self.__dict__.update(placement.__dict__)
        self._limits, self._backlogs = limits, placement._backlogs.copy()

    def expected_cost_ms(self, request: SlotRequest) -> float:
        """Return the expected cost of a request at a worker of usual speed."""
        if self.rule.engine is None:
            return self._own_cost_ms(request)
        return self.engine_times.estimate.expected_ms(request.prompt_tokens)

    def assess(
        self, request: SlotRequest, workers: Sequence[Worker], now_s: float
    ) -> list[WorkerAssessment]:
        """Return what is considered of each worker for a request."""
        recent_tokens = self._prefills.recent_tokens(
            request.prefixes, self.prefix_reuse_ms, now_s
        )
        usable, _ = self._usable(request, workers, now_s)
        delays = self._delays_ms(usable, request, recent_tokens, now_s)
        expected_ms = {one[1]: delay for one, delay in zip(usable, delays, strict=True)}
        slow = {one[1] for one in usable if not self._is_preferred(one, now_s)}
        if len(slow) == len(usable):
            slow = set()
        found = []
        for worker in workers:
            key, held = worker.key, self._reservations.at(worker.key)
            reason = self._unavailability(worker, key, held, request, now_s)
            if reason is None and key in slow:
                reason = Unavailability.SLOW
            reported = self._loads.slowdown(key, now_s) if self._loads else None
            found.append(
                WorkerAssessment(
                    worker,
                    len(held),
                    self._backlog_ms(worker, held, now_s),
                    reported,
                    self._loads.age_ms(key, now_s) if self._loads else None,
                    self.health.slowdown(key),
                    expected_ms.get(key),
                    reason,
                    self._unavailable_ms(reason, request, key, held, now_s),
                )
            )
        return found

    def _backlog_ms(
        self, worker: Worker, held: Collection[SlotReservation], now_s: float
    ) -> float:
        """Return how long a worker needs for what runs there, at its present speed."""
        slowdown = self.reported_slowdown(worker.key, now_s)
        if self.rule.engine is None:
            backlog_ms = self._plain_backlog_ms(worker.key, held, slowdown, now_s)
            return slowdown * backlog_ms / max(1, worker.slots)
        tokens = sum(one.pending_prefill_tokens for one in held)
        slowdown *= max(1.0, self.health.slowdown(worker.key))
        return tokens * self._prefill_ms_per_token * slowdown

    def _unavailable_ms(
        self,
        reason: Unavailability | None,
        request: SlotRequest,
        key: str,
        held: Collection[SlotReservation],
        now_s: float,
    ) -> float | None:
        """Return for how long a reason holds; None if that is not known."""
        if reason is Unavailability.UNHEALTHY:
            return self.health.excluded_ms(key, now_s) or None
        if reason in (Unavailability.BLOCKED, Unavailability.UNREACHABLE):
            return self._reachability.wait_ms(request.owner, key, held, now_s)
        if reason in (Unavailability.COLD, Unavailability.LIMITED):
            return self._limits.wait_ms(key, now_s)
        return None
