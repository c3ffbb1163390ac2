"""The deciding side: answers other instances for the services it is in charge of."""

from collections.abc import Callable

import trio

from ...core.clock import Clock, to_s
from ...core.ids import InstanceId
from ...wire.messages.base import Message
from ...wire.messages.gateway import (
    AcquireWorker,
    CancelWork,
    EnterStages,
    FreeResults,
    HeldPermits,
    HeldResults,
    PermitEnded,
    PermitStarted,
    PiecesMade,
    RunPieces,
    ServiceWait,
    WorkerGranted,
    WorkRefused,
)
from ..catalogue import Catalogue
from ..models import AttemptId, Piece, ServiceName, ServiceRule, Worker
from ..settings import GatewayBounds
from ..supervision import TaskSupervisor
from .admission import StageAdmission
from .pending import Pending
from .piece_groups import PieceGroup
from .places import PERMIT_TTL_MS, Place, PlaceBook, PlaceRequest
from .refusal import MIN_RETRY_MS, NO_WORKER_RETRY_MS
from .repeats import RepeatBudget
from .stage_feeder import StageFeeder

TICK_MS = 25.0
"""Period in which waiting requests are looked at: a sixth of the tightest aim."""

WAITS_PERIOD_MS = 100.0
"""Period in which the waits that heartbeats tell are worked out: half of a beat."""

HANDED_OVER = "handed_over"
"""Cause that tells an instance to ask the next dispatcher at once."""

OUTCOME_DONE = "done"
OUTCOME_FAILED = "failed"
OUTCOME_UNREACHABLE = "unreachable"
OUTCOME_FULL = "full"
OUTCOME_CANCELLED = "cancelled"


class Dispatcher:
    """Queues and places of all services, as far as this instance decides them.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    client : object
        Calls to stage workers.
    clock : Clock
        Source of time.
    log : callable
        Told decisions, as a kind and fields.
    tasks : TaskSupervisor
        Where calls run.
    bounds : GatewayBounds
        Promises of the operators, for the budget of repeated sends.
    own : InstanceId
        This instance, which still asks itself while it stops if no other is left.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        client,
        clock: Clock,
        log: Callable[..., None],
        tasks: TaskSupervisor,
        bounds: GatewayBounds,
        own: InstanceId,
    ):
        self._own = own
        self._waits: tuple[ServiceWait, ...] = ()
        self._waits_s = -1.0
        self._bounds = bounds
        self._budgets: dict[str, RepeatBudget] = {}
        self.stopping = False
        self._catalogue = catalogue
        self._client = client
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._feeders: dict[str, StageFeeder] = {}
        self._admissions: dict[str, StageAdmission] = {}
        self._books: dict[str, PlaceBook] = {}
        self._grants: dict[str, Pending[Worker | None]] = {}
        self._ticking: set[str] = set()

    def set_bounds(self, bounds: GatewayBounds) -> None:
        """Take over changed promises of the operators."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._budgets.clear()

    async def enter_stages(self, peer: InstanceId, message: EnterStages) -> Message:
        """Let a request begin a chain of stages that ends with a service."""
        if self.stopping and peer != self._own:
            return WorkRefused(HANDED_OVER, 0.0)
        feeder = self._feeder(message.service)
        if feeder is None:
            return WorkRefused("unknown_service", NO_WORKER_RETRY_MS)
        admission = self._admissions.get(message.service)
        if admission is None:
            admission = self._admissions[message.service] = StageAdmission(
                message.service,
                feeder.capacity_per_ms,
                self._clock,
                self._log,
                self._tasks,
            )
        return await admission.enter(peer, message)

    async def run_pieces(self, peer: InstanceId, message: RunPieces) -> Message:
        """Have the pieces of one stage of a request made."""
        if self.stopping and peer != self._own:
            return WorkRefused(HANDED_OVER, 0.0)
        feeder = self._feeder(message.service)
        if feeder is None:
            return WorkRefused("unknown_service", NO_WORKER_RETRY_MS)
        now_s = self._clock.monotonic_s()
        group = PieceGroup(
            owner=peer,
            pieces=[
                Piece(
                    AttemptId(message.attempt),
                    message.stage,
                    number,
                    message.key,
                    message.inputs,
                )
                for number in range(message.count)
            ],
            result_bytes=message.result_bytes,
            due_s=now_s + to_s(message.due_ms),
            latest_s=now_s + to_s(message.latest_ms),
            expires_s=now_s + to_s(message.expires_ms),
            priority=message.priority,
            value=message.value,
            data_centre=message.data_centre,
            transfer_bytes=message.transfer_bytes,
        )
        forecast_ms = feeder.forecast_ms(group)
        if forecast_ms is None or forecast_ms > message.expires_ms:
            return WorkRefused(
                "no_worker" if forecast_ms is None else "overload",
                MIN_RETRY_MS + (forecast_ms or 0.0) / 2,
            )
        reason = await self._wait_for_pieces(feeder, group)
        admission = self._admissions.get(message.service)
        if admission is not None and reason is None:
            admission.finish(message.attempt, message.stage)
        elif admission is not None:
            admission.remove(message.attempt)
        if reason is None:
            handles = (group.results[n].handle for n in range(message.count))
            return PiecesMade(tuple(handles))
        feeder.free([one.handle for one in group.results.values() if one.handle])
        return WorkRefused(reason, MIN_RETRY_MS)

    async def _wait_for_pieces(
        self, feeder: StageFeeder, group: PieceGroup
    ) -> str | None:
        done: Pending[str | None] = Pending()
        feeder.submit(group, lambda _, reason: done.give(reason))
        try:
            return await done.wait()
        except trio.Cancelled:
            feeder.cancel(group.attempt)
            raise

    async def acquire(self, peer: InstanceId, message: AcquireWorker) -> Message:
        """Give a place at a worker as soon as there is one."""
        if self.stopping and peer != self._own:
            return WorkRefused(HANDED_OVER, 0.0)
        book = self._book(message.service)
        workers = self._catalogue.workers_of(ServiceName(message.service))
        if book is None or not workers:
            return WorkRefused("no_worker", NO_WORKER_RETRY_MS)
        now_s = self._clock.monotonic_s()
        budget = self._budget(message.service)
        if not message.repeat:
            budget.note_first(now_s)
        elif not budget.spend(now_s):
            return WorkRefused("repeat_budget", NO_WORKER_RETRY_MS)
        request = PlaceRequest(
            permit=message.permit,
            owner=peer,
            due_s=now_s + to_s(message.due_ms),
            expires_s=now_s + to_s(message.expires_ms),
            priority=message.priority,
            value=message.value,
            prompt_tokens=message.prompt_tokens,
            output_tokens=message.output_tokens,
            parts=message.parts,
            input_bytes=dict(message.input_bytes),
            avoid=frozenset(message.avoid),
        )
        forecast_ms = book.forecast_ms(request, workers)
        if forecast_ms > message.expires_ms:
            return WorkRefused("overload", MIN_RETRY_MS + forecast_ms / 2)
        worker = await self._wait_for_place(book, message.service, request)
        if worker is None:
            cause = HANDED_OVER if self.stopping else "expired"
            return WorkRefused(cause, max(MIN_RETRY_MS, forecast_ms))
        return WorkerGranted(worker.id, worker.started_ms)

    async def _wait_for_place(
        self, book: PlaceBook, service: str, request: PlaceRequest
    ) -> Worker | None:
        grant = self._grants[request.permit] = Pending()
        book.add(request)
        self._assign(service)
        try:
            if book.waiting:
                self._start_tick(service)
            return await grant.wait()
        except trio.Cancelled:
            book.cancel(request.permit)
            book.ended(request.permit)
            raise
        finally:
            self._grants.pop(request.permit, None)

    async def permit_started(self, peer: InstanceId, message: PermitStarted) -> None:
        """Learn that an answer has begun."""
        book = self._books.get(message.service)
        if book is not None:
            now_s = self._clock.monotonic_s()
            book.started(message.permit, message.elapsed_ms, now_s)

    async def permit_ended(self, peer: InstanceId, message: PermitEnded) -> None:
        """Take a place back, and learn from how the call ended."""
        book = self._books.get(message.service)
        if book is None:
            return
        place = book.ended(message.permit)
        if place is None:
            self._withdraw(book, message.permit)
            return
        now_s = self._clock.monotonic_s()
        if message.outcome == OUTCOME_DONE:
            book.note_time(place.worker, message.elapsed_ms, now_s)
        elif message.outcome == OUTCOME_FAILED:
            book.health.failed(place.worker)
        elif message.outcome in (OUTCOME_UNREACHABLE, OUTCOME_FULL):
            excluded_ms = book.health.exclude(place.worker, now_s)
            self._log(
                "worker_excluded",
                service=message.service,
                worker=place.worker,
                reason=message.outcome,
                excluded_ms=excluded_ms,
            )
        self._assign(message.service)

    def _withdraw(self, book: PlaceBook, permit: str) -> None:
        """Answer a request for a place that is not wanted any more."""
        book.cancel(permit)
        grant = self._grants.get(permit)
        if grant is not None:
            grant.give(None)

    async def free_results(self, peer: InstanceId, message: FreeResults) -> None:
        """Give up results."""
        feeder = self._feeder(message.service)
        if feeder is not None:
            feeder.free(message.handles)

    async def cancel_work(self, peer: InstanceId, message: CancelWork) -> None:
        """Drop the pieces of an attempt whose caller is gone."""
        feeder = self._feeders.get(message.service)
        if feeder is not None:
            feeder.cancel(message.attempt)
        admission = self._admissions.get(message.service)
        if admission is not None:
            admission.remove(message.attempt)

    async def held_permits(self, peer: InstanceId, message: HeldPermits) -> None:
        """Count the places that an instance holds from an earlier dispatcher."""
        book = self._book(message.service)
        if book is None:
            return
        until_s = self._clock.monotonic_s() + to_s(PERMIT_TTL_MS)
        for permit, worker, prompt_tokens, output_tokens in message.permits:
            place = Place(
                worker, peer, prompt_tokens, output_tokens, 0.0, until_s, True
            )
            book.restore(permit, place)

    async def held_results(self, peer: InstanceId, message: HeldResults) -> None:
        """Count the results that an instance holds from an earlier dispatcher."""
        feeder = self._feeder(message.service)
        if feeder is not None:
            feeder.replace_results(peer, message.results)

    def service_waits(self) -> tuple[ServiceWait, ...]:
        """Return the waits of the stage services with work that waits here."""
        now_s = self._clock.monotonic_s()
        if now_s - self._waits_s >= to_s(WAITS_PERIOD_MS):
            self._waits_s = now_s
            self._waits = tuple(
                ServiceWait(service, feeder.waits_ms())
                for service, feeder in self._feeders.items()
                if feeder.queue.waiting_pieces
            )
        return self._waits

    def tell(self, handler, peer: InstanceId, message: Message) -> None:
        """Let a handler of this object take a message of this instance's own."""
        self._tasks.start_soon(handler, self, peer, message)

    def drop_owner(self, instance: InstanceId) -> None:
        """Forget what an instance that went down has asked for."""
        for admission in self._admissions.values():
            admission.remove_owner(instance)
        for service, book in self._books.items():
            book.drop_owner(instance)
            self._assign(service)

    def workers_changed(self) -> None:
        """Look at all queues again with the workers of now."""
        for feeder in self._feeders.values():
            feeder.pump()
        for service, book in self._books.items():
            book.keep_workers(self._catalogue.workers_of(ServiceName(service)))
            self._assign(service)

    def hand_over(self) -> None:
        """Give all that waits back, since this instance stops or slept."""
        for feeder in self._feeders.values():
            feeder.hand_over(HANDED_OVER)
        for admission in self._admissions.values():
            admission.hand_over(HANDED_OVER)
        for book in self._books.values():
            for request in book.take_all():
                self._grants[request.permit].give(None)

    def _feeder(self, service: str) -> StageFeeder | None:
        rule = self._rule(service)
        if rule is None or rule.batching is None:
            return None
        feeder = self._feeders.get(service)
        if feeder is None:
            feeder = self._feeders[service] = StageFeeder(
                service,
                rule.batching,
                lambda: self._catalogue.workers_of(ServiceName(service)),
                self._client,
                self._clock,
                self._log,
                self._tasks,
            )
        feeder.queue.spec = rule.batching
        return feeder

    def _book(self, service: str) -> PlaceBook | None:
        rule = self._rule(service)
        if rule is None:
            return None
        book = self._books.get(service)
        if book is None:
            book = self._books[service] = PlaceBook(rule)
        book.rule = rule
        return book

    def _budget(self, service: str) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RepeatBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_slack,
                to_s(self._bounds.retry_window_ms),
            )
        return budget

    def _rule(self, service: str) -> ServiceRule | None:
        configuration = self._catalogue.configuration
        if configuration is None:
            return None
        return configuration.services.get(ServiceName(service))

    def _assign(self, service: str) -> None:
        book = self._books[service]
        now_s = self._clock.monotonic_s()
        for request in book.take_expired(now_s):
            self._grants[request.permit].give(None)
        workers = self._catalogue.workers_of(ServiceName(service))
        for request, worker in book.assign(workers, now_s):
            grant = self._grants.get(request.permit)
            if grant is None:
                book.ended(request.permit)
            else:
                grant.give(worker)

    def _start_tick(self, service: str) -> None:
        if service not in self._ticking:
            self._ticking.add(service)
            self._tasks.start_soon(self._tick, service)

    async def _tick(self, service: str) -> None:
        book = self._books[service]
        while book.waiting:
            await trio.sleep(to_s(TICK_MS))
            self._assign(service)
        self._ticking.discard(service)
