"""One request from its arrival to its answer."""

import math
import random as random_module
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import trio
import xxhash

from ..core.clock import Clock, to_s
from ..core.ids import Fingerprint
from ..http.caller import CallerGone, Exchange, IncomingRequest
from ..http.client import (
    AnswerHead,
    ConnectFailed,
    ConnectionBroken,
    Headers,
    HttpConnection,
    OutgoingRequest,
    end_to_end_headers,
)
from ..platform import requests as terms_format
from ..policy.subset import rendezvous_rank
from ..wire.messages.gateway import AcquireWorker
from .catalogue import Catalogue
from .dispatch.desk import Desk, Permit, Refused
from .dispatch.dispatcher import (
    OUTCOME_CANCELLED,
    OUTCOME_DONE,
    OUTCOME_FAILED,
    OUTCOME_FULL,
    OUTCOME_UNREACHABLE,
)
from .event_stream import EventSplitter, event_ids
from .models import AnswerTerms, RequestKind, RequestTerms, RouteRule, Worker
from .pipeline import StageRun, StageTimes
from .routing import RouteTable, choose_service, request_priority
from .supervision import TaskSupervisor
from .suspects import Suspects
from .worker_pool import WorkerConnections

MAX_SENDS = 4
"""Workers to which one request is sent at most, refusing ones included."""

MAX_PLAIN_ANSWER_BYTES = 8_000_000
"""Bound on an answer that is held until it is whole."""

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

STREAM_SILENCE_MS = 1_000.0
"""A resumable stream that is silent for longer goes on elsewhere: three times the
pause that callers accept, and half of what they wait at least."""

PLAIN_SILENCE_MS = 350.0
"""A repeatable plain request is sent elsewhere after this time: longer than the
slowest usual work, and early enough for a second try before the route's timeout."""

FIRST_PART_SILENCE_MS = 1_500.0
"""The same for the first part of a resumable stream, with its reading."""

VALUE_BASE, VALUE_SIZE_TOKENS, VALUE_MOST = 0.3, 5_000.0, 4.0
"""Value of a generation by its size, from the users' scoring rules; the mean size
is not known here, so a usual one stands for it."""


@dataclass(eq=False)
class RequestState:
    """What is known about one request while it is served."""

    request: IncomingRequest
    terms: RequestTerms
    route: RouteRule
    tenant: str | None
    priority: int
    service: str
    deadline_s: float
    due_s: float
    fingerprint: Fingerprint
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    stages: StageRun | None = None
    events: EventSplitter = field(default_factory=EventSplitter)
    """Events of a resumable stream that were forwarded."""

    @property
    def value(self) -> float:
        """What an answer in time is worth, relative to others of its route."""
        if self.route.kind is not RequestKind.STREAMING:
            return 1.0
        size = self.terms.size_tokens / VALUE_SIZE_TOKENS
        return min(VALUE_MOST, VALUE_BASE + (1 - VALUE_BASE) * size)


class _NotRunThere(Exception):
    """A worker did not run the request; another one may be asked."""

    def __init__(self, cause: str, inputs_gone: bool = False):
        self.cause = cause
        self.inputs_gone = inputs_gone


class _Failed(Exception):
    """The request may have run and has no good answer."""

    def __init__(self, cause: str, answer: tuple[AnswerHead, bytes] | None = None):
        self.cause = cause
        self.answer = answer


class Relay:
    """Serves callers' requests by the platform's workers.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    desk : Desk
        Where places and pieces are asked for.
    connections : WorkerConnections
        Connections to workers.
    suspects : Suspects
        Requests that crash workers.
    clock : Clock
        Source of time that counts the time in which the machine stood still.
    random : random.Random
        Choice among a route's services.
    observer : object
        Told what happens to requests: ``ended`` and ``decided``.
    tasks : TaskSupervisor
        Where long bodies are written.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        desk: Desk,
        connections: WorkerConnections,
        suspects: Suspects,
        clock: Clock,
        random: random_module.Random,
        observer,
        tasks: TaskSupervisor,
    ):
        self.in_flight = 0
        self.closing = False
        self._scopes: set[trio.CancelScope] = set()
        self._catalogue = catalogue
        self._desk = desk
        self._connections = connections
        self._suspects = suspects
        self._clock = clock
        self._random = random
        self._observer = observer
        self._tasks = tasks
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
            except _Failed as failed:
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
        self, state: RequestState, exchange: Exchange, failed: _Failed
    ) -> tuple[str, dict]:
        if exchange.started:
            exchange.abort()
        elif failed.answer is not None:
            head, body = failed.answer
            await exchange.respond(head.status, _answer_headers(head), body)
        else:
            await exchange.respond(502, [])
        return "failed", {"cause": failed.cause}

    async def _refuse(self, exchange: Exchange, status: int, after_s: float) -> None:
        await exchange.respond(status, terms_format.refusal_headers(after_s))

    async def _serve(self, state: RequestState, exchange: Exchange) -> tuple[str, dict]:
        """Run the stages and then the request, on another worker if one fails."""
        if state.route.stages:
            await self._run_stages(state)
        last = Refused("no_worker", 500.0)
        while state.sends < MAX_SENDS:
            permit = await self._acquire(state)
            try:
                return await self._send(state, exchange, permit)
            except _NotRunThere as refusal:
                last = Refused(refusal.cause, 300.0)
                if refusal.inputs_gone:
                    state.stages.release()
                    await self._run_stages(state)
            except _Failed as failed:
                if not self._may_repeat(state, exchange):
                    raise
                self._observer.decided(
                    "repeated",
                    state.terms.attempt,
                    cause=failed.cause,
                    runs=state.runs,
                    after_event=state.events.last_id,
                )
                last = Refused(failed.cause, 300.0)
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
            state.deadline_s,
            state.priority,
            state.value,
            self._home_data_centre(state),
            self._locate,
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
            expires_ms=(state.deadline_s - now_s) * 1_000.0,
            avoid=tuple(state.tried),
            repeat=state.sends > 0,
        )
        return await self._desk.acquire(message)

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

    async def _send(
        self, state: RequestState, exchange: Exchange, permit: Permit
    ) -> tuple[str, dict]:
        """Send the request to one worker and forward its answer."""
        worker = permit.worker
        state.sends += 1
        state.tried.add(worker.id)
        try:
            async with self._connections.lease(
                worker, state.route.repeatable
            ) as connection:
                return await self._exchange(state, exchange, permit, connection)
        except ConnectFailed as error:
            permit.outcome = OUTCOME_UNREACHABLE
            self._note(state, worker, "unreachable", str(error))
            raise _NotRunThere("unreachable") from error
        except ConnectionBroken as error:
            permit.outcome = OUTCOME_FAILED
            self._note(state, worker, "broken", str(error))
            self._suspects.broken(state.fingerprint, worker, state.terms.attempt)
            raise _Failed(f"broken: {error}") from error
        except trio.TooSlowError as error:
            permit.outcome = OUTCOME_UNREACHABLE
            self._note(state, worker, "silent", "no part of the answer in time")
            self._suspects.ended(state.fingerprint, worker, False)
            raise _Failed("silent") from error

    async def _exchange(
        self,
        state: RequestState,
        exchange: Exchange,
        permit: Permit,
        connection: HttpConnection,
    ) -> tuple[str, dict]:
        worker = permit.worker
        idle_ms = self._connections.idle_ms(connection)
        reused = connection.exchanges > 0
        outgoing = self._outgoing(state, worker)
        state.runs += 1
        state.may_have_run = True
        self._suspects.sent(state.fingerprint, worker)
        try:
            with trio.fail_after(self._first_part_s(state)):
                await connection.send(outgoing, self._tasks)
                head = await connection.receive_head(
                    lambda head: _answers(head, state.terms.attempt)
                )
        except ConnectionBroken:
            if reused:
                self._connections.note_reset_on_reuse(worker, idle_ms)
            raise
        except trio.Cancelled:
            self._suspects.ended(state.fingerprint, worker, False)
            raise
        told = terms_format.decode_answer(head)
        if told.not_run:
            await self._not_run(state, permit, connection, head, told)
        self._desk.started(permit)
        if state.route.kind is RequestKind.STREAMING and head.status == 200:
            if not told.marked:
                raise _Failed("an answer without the worker's mark")
            return await self._forward_stream(state, exchange, permit, connection, head)
        body = await connection.receive_whole_body(MAX_PLAIN_ANSWER_BYTES)
        self._suspects.ended(state.fingerprint, worker, head.status < 500)
        if head.status >= 500:
            permit.outcome = OUTCOME_FAILED
            raise _Failed(f"status {head.status}", (head, body))
        if 200 <= head.status < 300 and not told.marked:
            permit.outcome = OUTCOME_FAILED
            raise _Failed("an answer without the worker's mark")
        permit.outcome = OUTCOME_DONE
        await exchange.respond(head.status, _answer_headers(head), body)
        return "done", {"worker": worker.id, "status": head.status}

    async def _not_run(
        self,
        state: RequestState,
        permit: Permit,
        connection: HttpConnection,
        head: AnswerHead,
        told: AnswerTerms,
    ) -> None:
        """Take over a worker's word that it did not run the request."""
        await connection.receive_whole_body(MAX_PLAIN_ANSWER_BYTES)
        state.runs -= 1
        state.may_have_run = state.runs > 0
        permit.outcome = OUTCOME_CANCELLED
        self._suspects.ended(state.fingerprint, permit.worker, False)
        if told.wrong_worker:
            self._catalogue.note_leaving(permit.worker, "answer")
        elif not told.inputs_gone:
            permit.outcome = OUTCOME_FULL
        self._note(state, permit.worker, "not_run", f"status {head.status}")
        raise _NotRunThere(f"status {head.status}", told.inputs_gone)

    async def _forward_stream(
        self,
        state: RequestState,
        exchange: Exchange,
        permit: Permit,
        connection: HttpConnection,
        head: AnswerHead,
    ) -> tuple[str, dict]:
        """Forward a stream part by part, as it comes.

        A stream that goes on from another worker keeps the head of the first.
        """
        if not exchange.started:
            headers = _answer_headers(head, keep_length=not state.route.resumable)
            await exchange.start(head.status, headers)
        if state.stages is not None:
            state.stages.release()
        parts = connection.receive_body()
        if state.route.resumable:
            parts = self._whole_events(state, parts)
        async for data in parts:
            await exchange.send(data)
        await exchange.end()
        self._suspects.ended(state.fingerprint, permit.worker, True)
        permit.outcome = OUTCOME_DONE
        return "done", {"worker": permit.worker.id, "status": head.status}

    async def _whole_events(
        self, state: RequestState, parts: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yield whole events only; raises `trio.TooSlowError` at a long silence."""
        events = state.events
        events.drop_rest()
        after = events.last_id
        while True:
            with trio.fail_after(to_s(STREAM_SILENCE_MS)):
                data = await anext(parts, None)
            if data is None:
                break
            whole = events.feed(data)
            if whole and after is not None:
                _check_follows(after, whole)
                after = None
            if whole:
                yield whole
        if events.has_rest:
            raise ConnectionBroken("the stream ended within an event")

    def _first_part_s(self, state: RequestState) -> float:
        """Return how long the head of an answer is waited for."""
        last_try = state.runs >= state.route.max_attempts
        if not state.route.repeatable or last_try:
            return math.inf
        if state.route.kind is RequestKind.STREAMING:
            return to_s(FIRST_PART_SILENCE_MS)
        return to_s(PLAIN_SILENCE_MS)

    def _outgoing(self, state: RequestState, worker: Worker) -> OutgoingRequest:
        request = state.request
        left_ms = (state.deadline_s - self._clock.monotonic_s()) * 1_000.0
        inputs = state.stages.inputs if state.stages is not None else ()
        headers = terms_format.forwarded_headers(
            request.headers,
            left_ms,
            worker.id,
            state.tenant,
            inputs,
            state.events.last_id,
        )
        return OutgoingRequest(request.method, request.target, headers, request.body)

    def _note(self, state: RequestState, worker: Worker, what: str, why: str) -> None:
        self._observer.decided(
            "worker_" + what, state.terms.attempt, worker=worker.id, reason=why
        )


def _answers(head: AnswerHead, attempt: str) -> bool:
    """Return whether an answer belongs to the attempt; an unmarked one may."""
    told = terms_format.decode_answer(head)
    return told.attempt is None or told.attempt == attempt


def _check_follows(after: str, data: bytes) -> None:
    """Check that a resumed stream goes on where the former one broke off."""
    ids = event_ids(data)
    if not (ids and after.isdigit() and ids[0].isdigit()):
        raise ConnectionBroken(f"the event after {after} has no number")
    if int(ids[0]) != int(after) + 1:
        raise ConnectionBroken(f"event {ids[0]} follows event {after}")


def _answer_headers(head: AnswerHead, keep_length: bool = False) -> Headers:
    headers = end_to_end_headers(head.headers)
    if keep_length:
        return headers
    return [
        (name, value) for name, value in headers if name.lower() != b"content-length"
    ]


def request_fingerprint(request: IncomingRequest, key: str | None) -> Fingerprint:
    """Return a hash of a request's content and caller, not of its attempt."""
    digest = xxhash.xxh3_128()
    for part in (request.method, request.target, (key or "").encode(), request.body):
        digest.update(part)
        digest.update(b"\x00")
    return Fingerprint(digest.hexdigest())
