"""Sends a request to one worker and forwards its response."""

from collections.abc import AsyncIterator, Callable

import trio

from ..core.clock import Clock
from ..http.caller import Exchange
from ..http.client import (
    ConnectFailed,
    ConnectionBroken,
    Framing,
    HttpConnection,
    ResponseHead,
)
from ..platform import requests as request_format
from .catalogue import Catalogue
from .connection_pool import WorkerConnectionPool
from .dispatch.dispatch_client import DispatchClient, Permit
from .dispatch.outcomes import (
    OUTCOME_CANCELLED,
    OUTCOME_DONE,
    OUTCOME_FAILED,
    OUTCOME_FULL,
    OUTCOME_UNREACHABLE,
)
from .event_stream import MAX_EVENT_BYTES, EventSplitter, check_continuation
from .hedging import Sender
from .incarnation_check import CheckedConnections
from .models import RequestKind, ResponseMetadata, SoftwareVersion, Worker
from .request_quarantine import RequestQuarantine
from .request_state import (
    RequestFailed,
    RequestState,
    WorkerDidNotRun,
    WorkerSend,
    outgoing_request,
)
from .response_heads import is_event_stream, response_headers
from .response_memory import Reservation, ResponseMemory
from .software_versions import UNKNOWN_VERSION
from .stream_records import StreamRecords
from .supervision import TaskSupervisor
from .worker_eligibility import Ineligibility
from .worker_notices import WorkerNotices
from .worker_silence import (
    WorkerActivity,
    goes_on,
    head_timeout_s,
    stream_idle_timeout_s,
)

MAX_BUFFERED_RESPONSE_BYTES = 8_000_000
"""Maximum size of a response that is buffered until it is complete."""


class WorkerExchange:
    """Sends requests to workers and forwards their responses.

    Parameters
    ----------
    catalogue : Catalogue
        Registered workers.
    dispatch_client : DispatchClient
        Notified when a response begins.
    connections : WorkerConnectionPool
        Pool of connections to workers.
    quarantine : RequestQuarantine
        Records the requests that crash workers.
    clock : Clock
        Source of time that also advances while the machine is suspended.
    observer : object
        Notified of failures of workers through ``decided``.
    tasks : TaskSupervisor
        Runs the tasks that write long request bodies.
    notices : WorkerNotices
        What the workers announced.
    streams : StreamRecords
        Records the software versions of streams.
    checked_connections : CheckedConnections
        Connections of the pool that lead to the listed incarnations.
    memory : ResponseMemory
        Bounds the responses in progress.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        dispatch_client: DispatchClient,
        connections: WorkerConnectionPool,
        quarantine: RequestQuarantine,
        clock: Clock,
        observer,
        tasks: TaskSupervisor,
        notices: WorkerNotices,
        streams: StreamRecords,
        checked_connections: CheckedConnections,
        memory: ResponseMemory,
    ):
        self._activity = WorkerActivity()
        self._memory = memory
        self._streams = streams
        self._notices = notices
        self._checked_connections = checked_connections
        self._catalogue = catalogue
        self._dispatch_client = dispatch_client
        self._connections = connections
        self._quarantine = quarantine
        self._clock = clock
        self._observer = observer
        self._tasks = tasks

    async def send(
        self,
        state: RequestState,
        exchange: Exchange,
        permit: Permit,
        sender: Sender,
    ) -> tuple[str, dict]:
        """Send the request to one worker and forward its response.

        A worker that is silent keeps the request until another one goes on with it: it
        may be sound.

        Raises
        ------
        WorkerDidNotRun
            If the worker was unreachable or refused the request.
        RequestFailed
            If the request may have run and got no successful response.
        """
        worker = permit.worker
        state.sends += 1
        # A late copy of the answer to an earlier send has the same attempt id.
        sent_before = worker.id in state.tried_workers
        state.tried_workers.add(worker.id)
        # A dispatcher of an earlier release grants workers of any version.
        self._check_eligible(state, worker)
        if (refusal := self._notices.refusal(worker)) is not None:
            permit.retry_after_ms = self._notices.blocked_ms(worker)
            self._refuse(state, worker, refusal)
        send = WorkerSend(permit)
        sender.begin(worker)
        try:
            async with self._checked_connections.acquire(
                state, send, force_new=sent_before
            ) as connection:
                self._check_usable(state, permit)
                if state.attempts_used:
                    # Two senders may have waited for their workers at the same time.
                    self._refuse(state, worker, "attempts_used")
                try:
                    return await self._exchange(
                        state, exchange, send, connection, sender
                    )
                except trio.Cancelled:
                    if sender.silent_alone and await goes_on(connection):
                        sender.silent_alone = False
                    raise
        except ConnectFailed as error:
            self._check_eligible(state, worker)
            permit.outcome = OUTCOME_UNREACHABLE
            self._checked_connections.record_failure(worker)
            self._log_decision(state, worker, "unreachable", str(error))
            raise WorkerDidNotRun("unreachable") from error
        except ConnectionBroken as error:
            permit.outcome = OUTCOME_FAILED
            self._checked_connections.record_failure(worker)
            self._log_decision(state, worker, "broken", str(error))
            self._quarantine.check_for_crash(state, send)
            raise RequestFailed(f"broken: {error}") from error
        except trio.TooSlowError as error:
            self._record_silence(state, send)
            raise RequestFailed("silent") from error
        except trio.Cancelled:
            if sender.silent_alone:
                self._record_silence(state, send)
            elif sender.was_left:
                self._quarantine.record_end(state, send, False)
            raise
        finally:
            sender.end()
            if state.version_recorded and state.software_version == UNKNOWN_VERSION:
                self._streams.invalidate(state.begun_stream)

    def _record_silence(self, state: RequestState, send: WorkerSend) -> None:
        """Record that a worker is left for its silence."""
        send.permit.outcome = OUTCOME_UNREACHABLE
        self._log_decision(
            state, send.worker, "silent", "no part of the answer in time"
        )
        self._quarantine.record_end(state, send, False)

    def _check_eligible(self, state: RequestState, worker: Worker) -> None:
        """Raise `WorkerDidNotRun` if a worker must not get the request any more."""
        reason = self._catalogue.ineligibility(
            worker, state.software_version, state.allowed_regions
        )
        if reason is None:
            return
        if reason is Ineligibility.EVACUATED:
            state.sends -= 1  # nothing was sent
        self._refuse(state, worker, reason.value)

    def _refuse(self, state: RequestState, worker: Worker, reason: str) -> None:
        self._log_decision(state, worker, "not_asked", reason)
        raise WorkerDidNotRun(reason)

    def _check_usable(self, state: RequestState, permit: Permit) -> None:
        """Raise `WorkerDidNotRun` unless a permit may still be used."""
        self._check_eligible(state, permit.worker)
        if self._clock.monotonic_s() > permit.usable_until_s:
            self._refuse(state, permit.worker, "permit_outdated")
        if permit.limited is not None:
            self._observer.decided(
                "sent_within_limit",
                state.metadata.attempt,
                worker=permit.worker.id,
                dispatcher=permit.dispatchers[0],
                limit_per_s=permit.limited.per_s,
                recent_sends=permit.limited.sends,
                waited_ms=round(permit.waited_ms),
            )

    async def _exchange(
        self,
        state: RequestState,
        exchange: Exchange,
        send: WorkerSend,
        connection: HttpConnection,
        sender: Sender,
    ) -> tuple[str, dict]:
        permit, worker = send.permit, send.worker
        idle_ms = self._connections.idle_ms(connection)
        reused = connection.exchanges > 0
        outgoing = outgoing_request(state, worker, self._clock.monotonic_s())
        response = None

        def accept(head: ResponseHead) -> bool:
            """Return whether a response belongs to the attempt or names no attempt.

            Responses to other attempts, which are skipped, come from the worker, too.
            """
            nonlocal response
            response = request_format.decode_response_metadata(head)
            if self._checked_connections.is_late_report(
                connection, head.status, response
            ):
                return False
            own = response.attempt == state.metadata.attempt and response.has_seal
            self._notices.observe(worker, response, sent_s if own else None)
            if response.attempt == state.metadata.attempt:
                permit.load = response.load
                permit.limit_per_s = response.limit_per_s
                named = response.limit_per_s is not None or response.malformed_limits
                permit.without_limit = own and not named
                permit.brittle_rejections = response.brittle_rejections
                named = response.brittle_rejections is not None
                named = named or bool(response.malformed_brittle)
                permit.not_brittle = own and not named
            return response.attempt in (None, state.metadata.attempt)

        state.runs += 1
        state.may_have_run = True
        self._quarantine.record_send(state, worker)
        sent_s = self._clock.monotonic_s()
        if state.last_event_id is not None:
            sender.limit_overlap(self._activity)
        try:
            with trio.fail_after(head_timeout_s(state.route)):
                await connection.send(outgoing, self._tasks)
            head = await self._receive_head(state, connection, accept, sender)
        except ConnectionBroken:
            if reused:
                self._connections.record_reset_on_reuse(worker, idle_ms)
            raise
        except trio.Cancelled:
            self._quarantine.record_end(state, send, False)
            raise
        permit.retry_after_ms = self._notices.blocked_ms(worker)
        state.framing = head.framing
        if response.not_run or response.attempt is None:
            # A second copy of it would be taken for the response to a later request.
            connection.forbid_reuse()
        if response.not_run:
            self._handle_not_run(state, send, head, response)
        self._dispatch_client.report_started(permit)
        if exchange.started and not is_event_stream(head):
            permit.outcome = OUTCOME_FAILED
            self._quarantine.record_end(state, send, head.status < 500)
            raise RequestFailed(f"status {head.status} instead of further events")
        if state.route.kind is RequestKind.STREAMING and head.status == 200:
            if not response.has_seal:
                raise RequestFailed("an answer without the worker's mark")
            state.answer_begun = True
            return await self._forward_stream(
                state, exchange, send, connection, head, sender
            )
        if 200 <= head.status < 300:
            send.begun_s = self._clock.monotonic_s()
        with self._reservation(state, worker, connection) as reservation:
            body = await connection.receive_full_body(
                MAX_BUFFERED_RESPONSE_BYTES, reservation.reserve
            )
            reservation.complete(body)
        self._quarantine.record_end(state, send, head.status < 500)
        if response.promises_not_run:
            permit.outcome = OUTCOME_FAILED
            raise RequestFailed(f"status {head.status}, which may follow a run")
        if head.status >= 500:
            permit.outcome = OUTCOME_FAILED
            raise RequestFailed(f"status {head.status}", (head, body), reservation)
        if 200 <= head.status < 300 and not response.has_seal:
            permit.outcome = OUTCOME_FAILED
            raise RequestFailed("an answer without the worker's mark")
        permit.outcome = OUTCOME_DONE
        await sender.take_over()
        reservation.pass_on(exchange.abort)
        await exchange.respond(head.status, response_headers(head), body)
        return "done", {"worker": worker.id, "status": head.status}

    def _reservation(
        self, state: RequestState, worker: Worker, connection: HttpConnection
    ) -> Reservation:
        """Return a reservation, which the end of the request releases."""
        attempt = state.metadata.attempt
        reservation = self._memory.reservation(worker.key, connection, attempt)
        state.reservations.append(reservation)
        return reservation

    async def _receive_head(
        self,
        state: RequestState,
        connection: HttpConnection,
        accept: Callable[[ResponseHead], bool],
        sender: Sender,
    ) -> ResponseHead:
        """Return the head of the response."""
        timeout_s = head_timeout_s(state.route)
        while True:
            with trio.move_on_after(timeout_s):
                return await connection.receive_head(accept)
            sender.record_silence(timeout_s)

    def _handle_not_run(
        self,
        state: RequestState,
        send: WorkerSend,
        head: ResponseHead,
        response: ResponseMetadata,
    ) -> None:
        """Handle a response which states that the worker did not run the request."""
        permit = send.permit
        state.runs -= 1
        state.may_have_run = state.runs > 0
        permit.outcome = OUTCOME_CANCELLED
        self._quarantine.record_end(state, send, False)
        if response.wrong_worker:
            self._catalogue.record_draining(permit.worker, "answer")
        elif not response.inputs_missing:
            permit.outcome = OUTCOME_FULL
        self._log_decision(state, permit.worker, "not_run", f"status {head.status}")
        raise WorkerDidNotRun(f"status {head.status}", response.inputs_missing)

    async def _forward_stream(
        self,
        state: RequestState,
        exchange: Exchange,
        send: WorkerSend,
        connection: HttpConnection,
        head: ResponseHead,
        sender: Sender,
    ) -> tuple[str, dict]:
        """Forward the complete events of a stream as they arrive.

        A stream that is resumed on another worker keeps the headers of the first one
        that wrote an event.
        """
        permit, may_move = send.permit, state.route.repeatable
        goes_on, received = exchange.started, False
        if not may_move:
            await self._start_stream(state, exchange, head)
        if state.stages is not None:
            state.stages.release()
        with self._reservation(state, permit.worker, connection) as reservation:
            async for data in self._complete_events(
                state, send, connection, head.framing, sender, reservation
            ):
                received = True
                if not exchange.started:
                    await self._start_stream(state, exchange, head)
                await exchange.send(data)
        if goes_on and not received:
            # It cannot be told from an answer that lacks the rest of the events.
            permit.outcome = OUTCOME_FAILED
            self._quarantine.record_end(state, send, True)
            raise RequestFailed("no further event")
        await sender.take_over()
        if not exchange.started:
            await self._start_stream(state, exchange, head)
        await exchange.end()
        self._quarantine.record_end(state, send, True)
        permit.outcome = OUTCOME_DONE
        return "done", {"worker": permit.worker.id, "status": head.status}

    async def _start_stream(
        self, state: RequestState, exchange: Exchange, head: ResponseHead
    ) -> None:
        headers = response_headers(head, keep_length=not state.route.resumable)
        await exchange.start(head.status, headers)

    async def _complete_events(
        self,
        state: RequestState,
        send: WorkerSend,
        connection: HttpConnection,
        framing: Framing,
        sender: Sender,
        reservation: Reservation,
    ) -> AsyncIterator[bytes]:
        """Yield complete events only.

        Raises
        ------
        ConnectionBroken
            If the stream ends within an event, or if only the end of the connection
            marks its end and it has no event.
        """
        events = EventSplitter()
        received = False
        idle_timeout_s = stream_idle_timeout_s(state.route)
        resumed_after = state.last_event_id
        parts = connection.receive_body()
        idle_at_s = trio.current_time() + idle_timeout_s
        while True:
            with trio.move_on_at(idle_at_s) as scope:
                data = await anext(parts, None)
            if scope.cancelled_caught:
                if await self._may_go_on_elsewhere(state, send, connection):
                    sender.record_silence(idle_timeout_s)
                parts = connection.receive_body()
                idle_at_s = trio.current_time() + idle_timeout_s
                continue
            if data is None:
                break
            try:
                complete = events.feed(data)
                if resumed_after is not None:
                    resumed_after = check_continuation(resumed_after, complete)
            except ValueError as error:
                raise ConnectionBroken(str(error)) from error
            if complete:
                self._activity.record(send.worker)
                await sender.take_over()
                deviating = None if received else state.deviating_stream(send.worker)
                if deviating is not None:
                    await self._streams.record_exception(deviating)
                state.last_event_id = events.last_id or state.last_event_id
                if not received:
                    send.begun_s = self._clock.monotonic_s()
                    await self._record_version(state, send, connection)
                received = True
                yield complete
                idle_at_s = trio.current_time() + idle_timeout_s
            if await reservation.fit(events.partial_bytes, MAX_EVENT_BYTES):
                idle_at_s = trio.current_time() + idle_timeout_s
        if events.has_partial_event:
            raise ConnectionBroken("the stream ended within an event")
        if framing is Framing.CONNECTION_END and not received:
            raise ConnectionBroken("the connection ended before the first event")

    async def _may_go_on_elsewhere(
        self, state: RequestState, send: WorkerSend, connection: HttpConnection
    ) -> bool:
        """Return whether it is known which workers may go on with a silent stream."""
        if state.last_event_id is None or send.begun_s is None:
            return True
        return await self._checked_connections.is_version_known(
            state, send.worker, connection
        )

    async def _record_version(
        self, state: RequestState, send: WorkerSend, connection: HttpConnection
    ) -> None:
        """Record the version of a stream before its first event is forwarded."""
        known = SoftwareVersion(send.worker.software_version)
        state.software_version = known or UNKNOWN_VERSION
        state.writer_in_doubt |= send.writer_in_doubt
        if state.version_recorded or not state.route.resumable:
            return
        await self._checked_connections.wait_for_proof(send.worker, connection)
        state.version_recorded = True
        await self._streams.record(state.begun_stream, state.resumed_within_ms)

    def _log_decision(
        self, state: RequestState, worker: Worker, decision: str, reason: str
    ) -> None:
        kind, attempt = f"worker_{decision}", state.metadata.attempt
        self._observer.decided(kind, attempt, worker=worker.id, reason=reason)
