"""One request at one worker: sent, answered and forwarded."""

import math
from collections.abc import AsyncIterator

import trio

from ..core.clock import Clock, to_s
from ..http.caller import Exchange
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
from .catalogue import Catalogue
from .dispatch.desk import Desk, Permit
from .dispatch.dispatcher import (
    OUTCOME_CANCELLED,
    OUTCOME_DONE,
    OUTCOME_FAILED,
    OUTCOME_FULL,
    OUTCOME_UNREACHABLE,
)
from .event_stream import event_ids
from .models import AnswerTerms, RequestKind, Worker
from .request_state import Failed, NotRunThere, RequestState
from .supervision import TaskSupervisor
from .suspects import Suspects
from .worker_pool import WorkerConnections

MAX_PLAIN_ANSWER_BYTES = 8_000_000
"""Bound on an answer that is held until it is whole."""

STREAM_SILENCE_MS = 1_000.0
"""A resumable stream that is silent for longer goes on elsewhere: three times the
pause that callers accept, and half of what they wait at least."""

PLAIN_SILENCE_MS = 350.0
"""A repeatable plain request is sent elsewhere after this time: longer than the
slowest usual work, and early enough for a second try before the route's timeout."""

FIRST_PART_SILENCE_MS = 1_500.0
"""The same for the first part of a resumable stream, with its reading."""


class WorkerExchange:
    """Sends requests to workers and forwards their answers.

    Parameters
    ----------
    catalogue : Catalogue
        Workers.
    desk : Desk
        Told when an answer begins.
    connections : WorkerConnections
        Connections to workers.
    suspects : Suspects
        Requests that crash workers.
    clock : Clock
        Source of time that counts the time in which the machine stood still.
    observer : object
        Told what workers do: ``decided``.
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
        observer,
        tasks: TaskSupervisor,
    ):
        self._catalogue = catalogue
        self._desk = desk
        self._connections = connections
        self._suspects = suspects
        self._clock = clock
        self._observer = observer
        self._tasks = tasks

    async def send(
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
            raise NotRunThere("unreachable") from error
        except ConnectionBroken as error:
            permit.outcome = OUTCOME_FAILED
            self._note(state, worker, "broken", str(error))
            self._suspects.broken(state.fingerprint, worker, state.terms.attempt)
            raise Failed(f"broken: {error}") from error
        except trio.TooSlowError as error:
            permit.outcome = OUTCOME_UNREACHABLE
            self._note(state, worker, "silent", "no part of the answer in time")
            self._suspects.ended(state.fingerprint, worker, False)
            raise Failed("silent") from error

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
                raise Failed("an answer without the worker's mark")
            return await self._forward_stream(state, exchange, permit, connection, head)
        body = await connection.receive_whole_body(MAX_PLAIN_ANSWER_BYTES)
        self._suspects.ended(state.fingerprint, worker, head.status < 500)
        if head.status >= 500:
            permit.outcome = OUTCOME_FAILED
            raise Failed(f"status {head.status}", (head, body))
        if 200 <= head.status < 300 and not told.marked:
            permit.outcome = OUTCOME_FAILED
            raise Failed("an answer without the worker's mark")
        permit.outcome = OUTCOME_DONE
        await exchange.respond(head.status, answer_headers(head), body)
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
            self._catalogue.record_draining(permit.worker, "answer")
        elif not told.inputs_gone:
            permit.outcome = OUTCOME_FULL
        self._note(state, permit.worker, "not_run", f"status {head.status}")
        raise NotRunThere(f"status {head.status}", told.inputs_gone)

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
            headers = answer_headers(head, keep_length=not state.route.resumable)
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
        """Yield whole events only.

        Raises `trio.TooSlowError` at a long silence, if another worker may go on.
        """
        events = state.events
        last_run = state.runs >= state.route.max_attempts
        silence_s = math.inf if last_run else to_s(STREAM_SILENCE_MS)
        events.drop_rest()
        after = events.last_id
        while True:
            with trio.fail_after(silence_s):
                data = await anext(parts, None)
            if data is None:
                break
            try:
                whole = events.feed(data)
            except ValueError as error:
                raise ConnectionBroken(str(error)) from error
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


def answer_headers(head: AnswerHead, keep_length: bool = False) -> Headers:
    """Return the headers with which a worker's answer goes to the caller."""
    headers = end_to_end_headers(head.headers)
    if keep_length:
        return headers
    return [
        (name, value) for name, value in headers if name.lower() != b"content-length"
    ]
