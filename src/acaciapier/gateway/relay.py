"""One request from its arrival to its answer."""

import random as random_module

import trio

from ..core.clock import Clock
from ..http.caller import CallerGone, Exchange, IncomingRequest
from ..platform import requests as terms_format
from ..policy.subset import rendezvous_rank
from ..wire.messages.gateway import AcquireWorker
from .catalogue import Catalogue
from .dispatch.desk import Desk, Permit
from .dispatch.refusal import NO_WORKER_RETRY_MS, OTHER_WORKER_RETRY_MS, Refused
from .models import RequestKind
from .pipeline import StageRun
from .request_state import (
    Failed,
    NotRunThere,
    RequestState,
    caller_patience_ms,
    request_fingerprint,
)
from .routing import RouteTable, choose_service, request_priority
from .stage_times import StageTimes
from .suspects import Suspects
from .worker_exchange import WorkerExchange, answer_headers

MAX_SENDS = 4
"""Workers to which one request is sent at most, refusing ones included."""

DEFAULT_DEADLINE_MS = 30_000.0
"""Deadline of a request that names none: the longest of the users' sheets twice."""

MIN_RETRY_AFTER_S = 0.2
"""Shortest time after which a refused caller is asked back."""

RETRY_AFTER_SHARE = 1 / 3
"""Callers honour a time to come back up to this share of their time left."""

NO_CONFIGURATION_RETRY_S = 1.0
"""An instance without a configuration reads one within about a second."""

BLOCKED_RETRY_S = 5.0
"""A request that crashes workers is not wanted back soon."""


class Relay:
    """Serves callers' requests by the platform's workers.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    desk : Desk
        Where places and pieces are asked for.
    workers : WorkerExchange
        Sends requests to workers.
    suspects : Suspects
        Requests that crash workers.
    clock : Clock
        Source of time that counts the time in which the machine stood still.
    random : random.Random
        Choice among a route's services.
    observer : object
        Told what happens to requests: ``ended`` and ``decided``.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        desk: Desk,
        workers: WorkerExchange,
        suspects: Suspects,
        clock: Clock,
        random: random_module.Random,
        observer,
    ):
        self.in_flight = 0
        self.closing = False
        self._scopes: set[trio.CancelScope] = set()
        self._catalogue = catalogue
        self._desk = desk
        self._workers = workers
        self._suspects = suspects
        self._clock = clock
        self._random = random
        self._observer = observer
        self._times = StageTimes(catalogue)
        self._table: RouteTable | None = None

    def end_all(self) -> None:
        """Give every request in flight its final answer now."""
        for scope in list(self._scopes):
            scope.cancel()

    async def handle(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer one request."""
        self.in_flight += 1
        start_s = self._clock.monotonic_s()
        outcome, fields = "caller_gone", {}
        try:
            outcome, fields = await self._handle(request, exchange, start_s)
        except CallerGone:
            exchange.abort()
        except Exception as error:
            outcome, fields = "internal", {"error": repr(error)}
            self._observer.failed(error)
            exchange.abort()
        finally:
            self.in_flight -= 1
            elapsed_ms = (self._clock.monotonic_s() - start_s) * 1_000.0
            attempt = request.values.get(terms_format.ATTEMPT, b"").decode("latin-1")
            self._observer.ended(attempt, outcome, elapsed_ms, fields)

    async def _handle(
        self, request: IncomingRequest, exchange: Exchange, start_s: float
    ) -> tuple[str, dict]:
        if self.closing:
            await self._refuse(exchange, 503, MIN_RETRY_AFTER_S)
            return "refused", {"cause": "stopping"}
        table = self._route_table()
        if table is None:
            await self._refuse(exchange, 503, NO_CONFIGURATION_RETRY_S)
            return "refused", {"cause": "no_configuration"}
        version = table.configuration.version
        host = request.values.get(b"host", b"").decode("latin-1")
        target = request.target.decode("latin-1")
        route = table.find_route(host, target)
        if route is None:
            await exchange.respond(404, [])
            return "no_route", {"host": host, "version": version}
        terms = terms_format.decode_terms(request.values)
        tenant = table.find_tenant(terms.key)
        if table.needs_key(route) and tenant is None:
            await exchange.respond(401, [])
            return "unknown_key", {"route": route.name, "version": version}
        deadline_ms = min(terms.deadline_ms or DEFAULT_DEADLINE_MS, route.timeout_ms)
        state = RequestState(
            request=request,
            terms=terms,
            route=route,
            tenant=tenant.name if tenant is not None else None,
            priority=request_priority(route, tenant),
            service=choose_service(route, self._random),
            deadline_s=start_s + deadline_ms / 1_000.0,
            due_s=start_s + route.objective_ms / 1_000.0,
            leaves_s=start_s + caller_patience_ms(route, deadline_ms) / 1_000.0,
            fingerprint=request_fingerprint(request, terms.key),
        )
        if self._suspects.blocked(state.fingerprint):
            await self._refuse(exchange, 503, BLOCKED_RETRY_S)
            return "blocked", {"route": route.name, "fingerprint": state.fingerprint}
        outcome, fields = await self._serve_in_time(state, exchange, deadline_ms)
        fields |= {
            "route": route.name,
            "service": state.service,
            "version": version,
            "priority": state.priority,
            "sends": state.sends,
        }
        if state.stages is not None:
            fields["admission_ms"] = round(state.stages.admission_ms)
        return outcome, fields

    def _route_table(self) -> RouteTable | None:
        configuration = self._catalogue.configuration
        if not self._catalogue.complete or configuration is None:
            return None
        if self._table is None or self._table.configuration is not configuration:
            self._table = RouteTable(configuration)
        return self._table

    async def _serve_in_time(
        self, state: RequestState, exchange: Exchange, deadline_ms: float
    ) -> tuple[str, dict]:
        """Serve until the deadline, and give a final answer then."""
        result: tuple[str, dict] = ("deadline", {"cause": "deadline"})
        with trio.move_on_after(deadline_ms / 1_000.0) as scope:
            self._scopes.add(scope)
            try:
                result = await self._serve(state, exchange)
            except Refused as refused:
                result = await self._answer_refused(state, exchange, refused)
            except Failed as failed:
                result = await self._answer_failed(state, exchange, failed)
            finally:
                self._scopes.discard(scope)
                if state.stages is not None:
                    state.stages.release()
            return result
        if self.closing:
            result = ("stopped", {"cause": "stopping"})
        if exchange.started:
            exchange.abort()
        elif state.may_have_run:
            await exchange.respond(504, [])
        else:
            await self._refuse(exchange, 503, MIN_RETRY_AFTER_S)
        return result

    async def _answer_refused(
        self, state: RequestState, exchange: Exchange, refused: Refused
    ) -> tuple[str, dict]:
        left_s = state.deadline_s - self._clock.monotonic_s()
        if state.may_have_run:
            await exchange.respond(502, [])
            return "failed", {"cause": refused.cause}
        after_s = max(MIN_RETRY_AFTER_S, refused.retry_after_ms / 1_000.0)
        after_s = min(after_s, max(MIN_RETRY_AFTER_S, left_s * RETRY_AFTER_SHARE))
        await self._refuse(exchange, 503, after_s)
        return "refused", {"cause": refused.cause, "retry_after_s": round(after_s, 3)}

    async def _answer_failed(
        self, state: RequestState, exchange: Exchange, failed: Failed
    ) -> tuple[str, dict]:
        if exchange.started:
            exchange.abort()
        elif failed.answer is not None:
            head, body = failed.answer
            await exchange.respond(head.status, answer_headers(head), body)
        else:
            await exchange.respond(502, [])
        return "failed", {"cause": failed.cause}

    async def _refuse(self, exchange: Exchange, status: int, after_s: float) -> None:
        await exchange.respond(status, terms_format.refusal_headers(after_s))

    async def _serve(self, state: RequestState, exchange: Exchange) -> tuple[str, dict]:
        """Run the stages and then the request, on another worker if one fails."""
        if state.route.stages:
            await self._run_stages(state)
        last = Refused("no_worker", NO_WORKER_RETRY_MS)
        while state.sends < MAX_SENDS:
            permit = await self._acquire(state)
            try:
                return await self._workers.send(state, exchange, permit)
            except NotRunThere as refusal:
                last = Refused(refusal.cause, OTHER_WORKER_RETRY_MS)
                if refusal.inputs_gone:
                    state.stages.release()
                    await self._run_stages(state)
            except Failed as failed:
                if not self._may_repeat(state, exchange):
                    raise
                self._observer.decided(
                    "repeated",
                    state.terms.attempt,
                    cause=failed.cause,
                    runs=state.runs,
                    after_event=state.events.last_id,
                )
                last = Refused(failed.cause, OTHER_WORKER_RETRY_MS)
            finally:
                self._desk.end(permit)
        raise last

    def _may_repeat(self, state: RequestState, exchange: Exchange) -> bool:
        """Return whether a failed request may run once more, at another worker."""
        if not state.route.repeatable or state.runs >= state.route.max_attempts:
            return False
        return not exchange.started or state.events.last_id is not None

    async def _run_stages(self, state: RequestState) -> None:
        state.stages = StageRun(
            self._desk,
            self._times,
            self._clock,
            state.route,
            state.terms,
            state.due_s,
            state.leaves_s,
            state.priority,
            state.value,
            self._home_data_centre(state),
            self._locate,
            state.fingerprint,
        )
        await state.stages.run()

    def _home_data_centre(self, state: RequestState) -> str:
        """Return where the engine is that most likely keeps the request's prompt."""
        workers = self._catalogue.workers_of(state.service)
        shared = state.terms.parts[:-1]
        if not workers or not shared:
            return ""
        name = shared[-1].id
        home = max(workers, key=lambda one: rendezvous_rank(name, one.id))
        return home.data_centre

    async def _acquire(self, state: RequestState) -> Permit:
        now_s = self._clock.monotonic_s()
        message = AcquireWorker(
            service=state.service,
            permit="",
            prompt_tokens=state.terms.prompt_tokens,
            output_tokens=state.terms.output_tokens,
            parts=tuple((one.id, one.tokens) for one in state.terms.parts),
            input_bytes=self._input_bytes(state),
            priority=state.priority,
            value=state.value,
            due_ms=(state.due_s - now_s) * 1_000.0,
            expires_ms=(self._last_start_s(state) - now_s) * 1_000.0,
            avoid=tuple(state.tried),
            repeat=state.sends > 0,
        )
        return await self._desk.acquire(message)

    def _last_start_s(self, state: RequestState) -> float:
        """Return when a worker must begin for its answer to be of use."""
        if state.route.kind is not RequestKind.STREAMING:
            return state.deadline_s
        if state.events.last_id is not None:
            return state.deadline_s
        return state.leaves_s - self._times.engine_ms(state.terms) / 1_000.0

    def _input_bytes(self, state: RequestState) -> tuple[tuple[str, int], ...]:
        """Return the size of the stage results by their data centre."""
        if state.stages is None:
            return ()
        sizes: dict[str, int] = {}
        for handle, size in state.stages.final_results():
            centre = self._locate(handle)
            sizes[centre] = sizes.get(centre, 0) + size
        return tuple(sizes.items())

    def _locate(self, handle: str) -> str:
        """Return the data centre of a stage result."""
        return self._catalogue.locate(handle.partition("/")[0])
