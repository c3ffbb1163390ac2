"""Handles one request from its arrival to its final response."""

import random as random_module
from functools import partial

import msgspec
import trio

from ..core.clock import Clock
from ..http.caller import CallerDisconnected, Exchange, IncomingRequest
from ..platform import requests as request_format
from ..policy.subset import rendezvous_rank
from ..wire.messages.gateway import AcquireWorker
from .catalogue import Catalogue
from .dispatch.dispatch_client import DispatchClient
from .dispatch.permits import Permit
from .dispatch.refusal import NO_WORKER_RETRY_MS, OTHER_WORKER_RETRY_MS, Refused
from .dispatch.retry_spread import RetrySpread
from .final_responses import (
    MIN_RETRY_AFTER_S,
    end_unanswered,
    refuse,
    respond_failed,
    respond_refused,
)
from .hedging import Hedging, Sender
from .models import Resumption, ServiceName
from .pipeline import StageRun
from .request_plan import Rejection, RequestPlanner, make_acquire_message
from .request_quarantine import RequestQuarantine
from .request_state import RequestFailed, RequestState, WorkerDidNotRun
from .routing import abandon_after_ms, choose_service
from .stage_times import StageTimes
from .stream_records import StreamRecords
from .version_assignment import VersionAssignment
from .worker_exchange import WorkerExchange

MAX_SENDS = 4
"""Maximum number of workers to which one request is sent, including those that refuse
to run it."""

HEDGE_WAIT_MS = 100.0
"""Time for which a request whose worker is silent waits for another worker's slot."""

BLOCKED_RETRY_S = 5.0
"""Mean delay of the retries of a request that crashes workers."""


class Relay:
    """Serves callers' requests on the platform's workers.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    dispatch_client : DispatchClient
        Client of the dispatchers, which allocate slots at workers and run pieces.
    workers : WorkerExchange
        Sends requests to workers.
    quarantine : RequestQuarantine
        Blocks requests that crash workers.
    streams : StreamRecords
        Finds the software versions of streams that callers resume.
    assignment : VersionAssignment
        Chooses the software versions of streams that begin.
    clock : Clock
        Source of time that also advances while the machine is suspended.
    random : random.Random
        Source of the choice among a route's services.
    observer : object
        Notified of requests through ``ended``, ``decided`` and ``failed``.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        dispatch_client: DispatchClient,
        workers: WorkerExchange,
        quarantine: RequestQuarantine,
        streams: StreamRecords,
        assignment: VersionAssignment,
        clock: Clock,
        random: random_module.Random,
        observer,
    ):
        self.in_flight = 0
        self.closing = False
        self._scopes: set[trio.CancelScope] = set()
        self.catalogue = catalogue
        self._dispatch_client = self.dispatch_client = dispatch_client
        self._workers = workers
        self.quarantine = quarantine
        self._streams = streams
        self._assignment = assignment
        self.clock = clock
        self._random = random
        self._blocked_spread = RetrySpread()
        self.observer = observer
        self.times = StageTimes(catalogue, dispatch_client.engine_estimate)
        self.planner = RequestPlanner(catalogue)

    def cancel_all(self) -> None:
        """Cancel every request in flight; each gets its final response now."""
        for scope in list(self._scopes):
            scope.cancel()

    async def handle(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Respond to one request."""
        self.in_flight += 1
        start_s = self.clock.monotonic_s()
        outcome, fields = "caller_gone", {}
        try:
            try:
                outcome, fields = await self._handle(request, exchange, start_s)
            except CallerDisconnected:
                raise
            except Exception as error:
                outcome, fields = self._record_error(error)
                await end_unanswered(exchange, False, 502)
        except CallerDisconnected:
            if exchange.unread:
                fields = {"cause": "response_unread"}
            exchange.abort()
        finally:
            self.in_flight -= 1
            elapsed_ms = (self.clock.monotonic_s() - start_s) * 1_000.0
            attempt = request.values.get(request_format.ATTEMPT_HEADER, b"").decode(
                "latin-1"
            )
            self.observer.ended(attempt, outcome, elapsed_ms, fields)

    async def _handle(
        self, request: IncomingRequest, exchange: Exchange, start_s: float
    ) -> tuple[str, dict]:
        if self.closing:
            await refuse(exchange, 503, MIN_RETRY_AFTER_S)
            return "refused", {"cause": "stopping"}
        host = request.values.get(b"host", b"").decode("latin-1")
        metadata = request_format.decode_request_metadata(request.values)
        planned = self.planner.plan(
            host,
            request,
            metadata,
            start_s,
            partial(choose_service, random=self._random),
        )
        if isinstance(planned, Rejection):
            if planned.retry_after_s is not None:
                await refuse(exchange, planned.status, planned.retry_after_s)
            else:
                await exchange.respond(planned.status, [])
            return planned.outcome, planned.fields
        state, version = planned, self.catalogue.version
        route, deadline_ms = state.route, (state.deadline_s - start_s) * 1_000.0
        blocked = self.quarantine.block_reason(state)
        if blocked is not None:
            delay_ms = self._blocked_spread.delay_ms(BLOCKED_RETRY_S * 1_000.0)
            await refuse(exchange, 503, delay_ms / 1_000.0)
            return "blocked", {"route": route.name, **blocked}
        outcome, fields = await self._serve_until_deadline(state, exchange, deadline_ms)
        fields |= {
            "route": route.name,
            "service": state.service,
            "version": version,
            "priority": state.priority,
            "sends": state.sends,
        }
        if state.resumption is not None:
            fields["resumes"] = state.resumption.attempt
        if outcome == "done" and state.answer_begun:
            self._end_stream(state)
        if state.stages is not None:
            fields["admission_ms"] = round(state.stages.admission_ms)
        if state.framing is not None:
            fields["framing"] = state.framing.value
        if state.last_event_id is not None:
            fields["last_event"] = state.last_event_id
        if state.software_version is not None:
            fields["software_version"] = state.software_version
        return outcome, fields

    async def _serve_until_deadline(
        self, state: RequestState, exchange: Exchange, deadline_ms: float
    ) -> tuple[str, dict]:
        """Serve the request; send a final response at the deadline at the latest."""
        result: tuple[str, dict] = ("deadline", {"cause": "deadline"})
        with trio.move_on_after(deadline_ms / 1_000.0) as scope:
            self._scopes.add(scope)
            try:
                result = await self._serve(state, exchange)
            except Refused as refused:
                left_s = state.deadline_s - self.clock.monotonic_s()
                result = await respond_refused(state, exchange, refused, left_s)
            except RequestFailed as failed:
                result = await respond_failed(exchange, failed)
            except CallerDisconnected:
                raise
            except Exception as error:
                result = self._record_error(error)
                await end_unanswered(exchange, state.may_have_run, 502)
            finally:
                self._scopes.discard(scope)
                for reservation in state.reservations:
                    reservation.release()
                if state.stages is not None:
                    state.stages.release()
            return result
        if self.closing:
            result = ("stopped", {"cause": "stopping"})
        await end_unanswered(exchange, state.may_have_run, 504)
        return result

    def _record_error(self, error: Exception) -> tuple[str, dict]:
        """Record an error that no part of this class expects."""
        self.observer.failed(error)
        return "internal", {"error": repr(error)}

    async def _serve(self, state: RequestState, exchange: Exchange) -> tuple[str, dict]:
        """Run the stages and then the request, with retries on other workers."""
        if state.resumption is not None:
            await self._bind_to_version(state, state.resumption)
        hedging = Hedging(
            partial(self._send_until_answered, state, exchange),
            partial(self._may_hedge, state),
            partial(self._record_useless_hedge, state),
        )
        return await hedging.run()

    async def _send_until_answered(
        self, state: RequestState, exchange: Exchange, sender: Sender
    ) -> tuple[str, dict]:
        """Send the request to one worker after another until one has answered."""
        last_refusal = Refused("no_worker", NO_WORKER_RETRY_MS)
        only_untried = sender.is_hedge
        if only_untried:
            self._extend_abandonment(state)
        while state.sends < MAX_SENDS and not state.attempts_used:
            self._check_barred(state)
            await self._ensure_inputs(state)
            self._check_blocked(state)
            permit = await self._acquire(state, only_untried)
            try:
                if only_untried and permit.worker.id in state.tried_workers:
                    # A dispatcher of an earlier release ignores the flag.
                    raise Refused("same_worker", OTHER_WORKER_RETRY_MS)
                # Only the connection to the silent worker may be silent.
                only_untried = False
                self._check_blocked(state)
                if not self._has_inputs(state):
                    # The other sender's worker has begun its answer meanwhile.
                    raise Refused("inputs_used", OTHER_WORKER_RETRY_MS)
                return await self._workers.send(state, exchange, permit, sender)
            except WorkerDidNotRun as refusal:
                last_refusal = Refused(refusal.cause, OTHER_WORKER_RETRY_MS)
                if refusal.inputs_missing and state.stages is not None:
                    state.stages.release()
            except RequestFailed as failed:
                if sender.is_replaced or not self._may_retry(state):
                    raise
                self.observer.decided(
                    "repeated",
                    state.metadata.attempt,
                    cause=failed.cause,
                    runs=state.runs,
                    after_event=state.last_event_id,
                )
                if failed.reservation is not None:
                    failed.reservation.release()
                last_refusal = Refused(failed.cause, OTHER_WORKER_RETRY_MS)
                self._extend_abandonment(state)
            finally:
                self._dispatch_client.release_permit(permit)
            if sender.is_replaced:
                break
            sender.retry()
        raise last_refusal

    async def _bind_to_version(
        self, state: RequestState, resumption: Resumption
    ) -> None:
        """Bind a stream that its caller resumes to its service and version."""
        host = state.request.values.get(b"host", b"").decode("latin-1")
        target = state.request.target.decode("latin-1").partition("?")[0]
        found = await self._streams.find(
            state.workspace or "",
            resumption.attempt,
            [service for service, _ in state.route.services],
            state.resumed_within_ms,
            (host, target),
        )
        stream = found.stream
        state.service = stream.service
        state.software_version = stream.software_version
        self.observer.decided(
            "resumed_by_caller",
            state.metadata.attempt,
            resumes=resumption.attempt,
            after_event=resumption.after,
            software_version=stream.software_version,
            recorded=found.recorded,
            concluded_from=found.concluded_from,
            known_ms=found.known_ms,
        )
        if not any(
            worker.software_version == stream.software_version
            for worker in self.catalogue.workers_of(stream.service)
        ):
            cause = self.catalogue.refusal_cause(
                stream.service, stream.software_version, state.allowed_regions
            )
            raise Refused(cause, NO_WORKER_RETRY_MS)

    def _end_stream(self, state: RequestState) -> None:
        """Record that the stream of a request has come to its end, if it is one."""
        attempt = state.metadata.attempt
        if state.resumption is not None and state.resumption.attempt is not None:
            attempt = state.resumption.attempt
        self._streams.end(state.workspace or "", attempt)

    def _check_barred(self, state: RequestState) -> None:
        """Raise `Refused` if evacuations or regions leave a service no worker."""
        services = [state.service]
        if state.stages is None or not state.stages.has_inputs:
            services += [stage.service for stage in state.route.stages]
        for service in services:
            cause = self.catalogue.barred_cause(service, state.allowed_regions)
            if cause is not None:
                raise Refused(cause, NO_WORKER_RETRY_MS)

    def _check_blocked(self, state: RequestState) -> None:
        """Raise `Refused` if the request was blocked while it waited."""
        if self.quarantine.block_reason(state) is not None:
            delay_ms = self._blocked_spread.delay_ms(BLOCKED_RETRY_S * 1_000.0)
            raise Refused("blocked", delay_ms)

    def _may_retry(self, state: RequestState) -> bool:
        """Return whether a failed request may run again on another worker.

        It may have crashed a worker that broke off before the first event.
        """
        if state.answer_begun and state.last_event_id is None:
            return False
        if state.last_event_id is None and self.quarantine.is_trial(state):
            return False
        return self._may_hedge(state)

    def _may_hedge(self, state: RequestState) -> bool:
        """Return whether a request may run on another worker beside a silent one."""
        return (
            state.route.repeatable
            and not state.attempts_used
            and state.sends < MAX_SENDS
        )

    def _extend_abandonment(self, state: RequestState) -> None:
        """Set when the caller of a broken or silent stream abandons it."""
        if state.last_event_id is None:
            return
        left_ms = (state.deadline_s - self.clock.monotonic_s()) * 1_000.0
        gap_ms = abandon_after_ms(state.route, left_ms)
        state.abandon_at_s = self.clock.monotonic_s() + gap_ms / 1_000.0

    def _record_useless_hedge(
        self, state: RequestState, failure: RequestFailed | Refused
    ) -> None:
        self.observer.decided(
            "silent_worker_kept", state.metadata.attempt, reason=failure.cause
        )

    async def _ensure_inputs(self, state: RequestState) -> None:
        """Run the stages unless the route has none or their results are there."""
        if not self._has_inputs(state):
            await self._run_stages(state)

    def _has_inputs(self, state: RequestState) -> bool:
        """Return whether the route has no stages, or their results are there."""
        if not state.route.stages:
            return True
        return state.stages is not None and state.stages.has_inputs

    async def _run_stages(self, state: RequestState) -> None:
        state.stages = StageRun(
            self._dispatch_client,
            self.times,
            self.clock,
            state.route,
            state.service,
            state.metadata,
            state.due_s,
            state.abandon_at_s,
            state.priority,
            state.value,
            self._prompt_cache_data_centre(state),
            self._locate,
            state.fingerprint,
            state.workspace or "",
            tuple(state.allowed_regions),
        )
        try:
            await state.stages.run()
        except trio.Cancelled:
            state.stages.release()
            raise

    def _prompt_cache_data_centre(self, state: RequestState) -> str:
        """Return the data centre of the engine that most likely caches the prompt."""
        workers = self.catalogue.workers_of(state.service)
        shared = state.metadata.shared_part_ids
        if not workers or not shared:
            return ""
        prefix = shared[-1]
        likely = max(workers, key=lambda worker: rendezvous_rank(prefix, worker.id))
        return likely.data_centre

    async def _acquire(self, state: RequestState, only_untried: bool) -> Permit:
        """Acquire a slot, for a new stream at workers of its version."""
        while state.route.resumes_streams and state.software_version is None:
            service, attempt = ServiceName(state.service), state.metadata.attempt
            version = await self._assignment.assign(service, attempt)
            state.assigned_version = version
            if version is None:
                break
            with self._assignment.cancelled_on_move(service, attempt, version):
                message = self._acquire_message(state, only_untried)
                if not self._assignment.must_bind(service):
                    message = msgspec.structs.replace(message, software_version=None)
                try:
                    return await self._dispatch_client.acquire(message)
                except Refused:
                    if not only_untried or not self._assignment.may_deviate:
                        raise
                # No other worker of the version is there; a further one is silent.
                message = msgspec.structs.replace(message, software_version=None)
                return await self._dispatch_client.acquire(message)
        message = self._acquire_message(state, only_untried)
        return await self._dispatch_client.acquire(message)

    def _acquire_message(
        self, state: RequestState, only_untried: bool
    ) -> AcquireWorker:
        return make_acquire_message(
            state,
            self.times,
            self._locate,
            self.clock.monotonic_s(),
            HEDGE_WAIT_MS if only_untried else None,
        )

    def _locate(self, handle: str) -> str:
        """Return the data centre in which a stage result is stored."""
        return self.catalogue.locate(handle.partition("/")[0])
