"""What a dispatcher would do with a request, and why, without doing it.

Nothing here changes what the dispatcher decides later: it asks views of the queue and
of the placement, which decide by the same code and count nothing.
"""

import math
from collections.abc import Mapping

from ...core.clock import Clock
from ...core.ids import InstanceId
from ...wire.messages.explain import (
    ExplainSlot,
    ServiceExplanation,
    WorkerExplanation,
)
from ...wire.messages.gateway import WorkRefused
from ..catalogue import Catalogue
from ..models import ServiceName, ServiceRule
from ..worker_limits import LimitsView, WorkerLimits
from .cost_sharing import CostSharing
from .explained_workers import listed_workers
from .limit_reports import make_refusal
from .partition import partition_wait_ms
from .placement_view import PlacementView, WorkerAssessment
from .refusal import MIN_RETRY_MS, NO_WORKER_RETRY_MS
from .request_costs import CostKind
from .slot_requests import SlotRequest, make_slot_request
from .slots import SlotAllocator
from .version_preference import KeptVersions
from .worker_load import WorkerLoads


class AllocatorView(SlotAllocator):
    """Answers as an allocator does, and changes nothing in it.

    Only what tells of the slots may be used, such as `forecast_ms`.

    Parameters
    ----------
    allocator : SlotAllocator
        The allocator in use.
    limits : LimitsView
        The limits that it uses.
    """

    def __init__(self, allocator: SlotAllocator, limits: LimitsView):
        self.__dict__.update(allocator.__dict__)
        self._limits = limits
        self.placement = PlacementView(allocator.placement, limits)

    def expected_wait_ms(self, request: SlotRequest, workers, now_s: float) -> float:
        """Return how long a request that finds no slot is expected to wait."""
        forecast_ms = self.forecast_ms(request, workers, now_s)
        rate = self.placement.rate_per_ms(workers)
        return max(forecast_ms, 1.0 / rate if rate > 0 else 0.0)

    def slots_of(self, workspace: str) -> int:
        """Return how many slots requests of a workspace have."""
        return sum(
            one.request is not None and one.request.kind.workspace == workspace
            for one in self.reservations
        )


class DispatchExplainer:
    """Tells what the dispatcher of this instance would answer to slot requests.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    clock : Clock
        Source of time.
    allocators : mapping of str to SlotAllocator
        The services that this instance dispatches.
    limits : WorkerLimits
        Limits of the workers.
    loads : WorkerLoads
        Slowdowns that workers report.
    versions : KeptVersions
        Versions to which services are kept.
    costs : CostSharing
        Costs that other dispatchers learned.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        clock: Clock,
        allocators: Mapping[str, SlotAllocator],
        limits: WorkerLimits,
        loads: WorkerLoads,
        versions: KeptVersions,
        costs: CostSharing,
    ):
        self._catalogue = catalogue
        self._clock = clock
        self._allocators = allocators
        self._limits = limits
        self._loads = loads
        self._versions = versions
        self._costs = costs

    def explain(self, owner: InstanceId, message: ExplainSlot) -> ServiceExplanation:
        """Return what a slot request of an instance would get."""
        acquire, now_s = message.acquire, self._clock.monotonic_s()
        service = ServiceName(acquire.service)
        rule = self._catalogue.rule(service)
        if rule is None:
            return _refused(service, "no_worker", NO_WORKER_RETRY_MS)
        limits = LimitsView(self._limits)
        allocator = AllocatorView(self._allocator(service, rule), limits)
        kind = CostKind(acquire.route, acquire.body_bytes, acquire.workspace)
        latest_ms = allocator.latest_start_ms(acquire.expires_ms, acquire.whole, kind)
        kept = self._versions.peek(owner, acquire, allocator, now_s)
        request = make_slot_request(
            owner, acquire, kept, latest_ms, now_s, self._catalogue.eligibility
        )
        workers = request.usable(self._catalogue.workers_of(service))
        refusal, chosen, wait_ms = None, None, 0.0
        if not workers:
            cause = self._catalogue.refusal_cause(
                service, request.software_version, request.allowed_regions
            )
            refusal = WorkRefused(cause, NO_WORKER_RETRY_MS)
        else:
            forecast_ms = allocator.forecast_ms(request, workers, now_s)
            partition_ms = partition_wait_ms(allocator, request, workers, now_s)
            if partition_ms is not None:
                refusal = WorkRefused("unreachable", max(MIN_RETRY_MS, partition_ms))
            elif forecast_ms > latest_ms:
                retry_ms = MIN_RETRY_MS + forecast_ms / 2
                refusal = make_refusal(
                    "overload", retry_ms, allocator, limits, workers, now_s
                )
            else:
                ahead = allocator.waiting
                chosen = allocator.placement.choose(request, workers, now_s, ahead)
            if chosen is None and refusal is None:
                wait_ms = allocator.expected_wait_ms(request, workers, now_s)
        rows = [
            _row(one, allocator.slots(one.worker))
            for one in allocator.placement.assess(request, workers, now_s)
        ]
        worker = chosen.id if chosen is not None else ""
        shown, others = listed_workers(
            rows,
            worker,
            self._catalogue,
            service,
            request.allowed_regions,
            request.software_version,
            message.max_workers,
        )
        costs = allocator.placement.costs
        learned = costs.updated_s > -math.inf
        outcome = "worker" if chosen is not None else "waits"
        return ServiceExplanation(
            service=service,
            dispatcher="",
            outcome=outcome if refusal is None else "refused",
            worker=worker,
            wait_ms=wait_ms,
            cause=refusal.cause if refusal is not None else "",
            retry_after_ms=refusal.retry_after_ms if refusal is not None else 0.0,
            cost_ms=allocator.placement.expected_cost_ms(request),
            uneven_costs=costs.uneven,
            cost_age_ms=(now_s - costs.updated_s) * 1_000.0 if learned else None,
            waiting=allocator.waiting,
            workspace_slots=allocator.slots_of(acquire.workspace),
            used_slots=allocator.reserved,
            workers=shown,
            others=others,
            above_share=acquire.workspace
            in allocator.queue.above_share(now_s, request),
        )

    def _allocator(self, service: ServiceName, rule: ServiceRule) -> SlotAllocator:
        """Return the allocator in use, or one as the first request would make it."""
        known = self._allocators.get(service)
        if known is not None:
            return known
        made = SlotAllocator(rule, limits=self._limits, loads=self._loads)
        made.placement.costs.start_with(self._costs.known(service))
        return made


def _refused(service: str, cause: str, retry_ms: float) -> ServiceExplanation:
    return ServiceExplanation(
        service, "", "refused", cause=cause, retry_after_ms=retry_ms
    )


def _row(one: WorkerAssessment, slots: int) -> WorkerExplanation:
    return WorkerExplanation(
        worker=one.worker.id,
        data_centre=one.worker.data_centre,
        used_slots=one.held,
        slots=slots,
        backlog_ms=one.backlog_ms,
        reported_slowdown=one.slowdown,
        report_age_ms=one.report_age_ms,
        measured_slowdown=one.measured_slowdown,
        expected_ms=one.expected_ms,
        reason="" if one.reason is None else one.reason.value,
        wait_ms=one.wait_ms,
    )
