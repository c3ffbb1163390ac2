"""Submits, joins, resumes and cancels the requests of an entry instance."""

import random
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec
import trio

from ..configuration import ConfigurationState
from ..core.clock import Clock, to_s
from ..core.ids import Fingerprint, InstanceId, RequestId, RunId, WorkspaceId
from ..core.outcomes import Cause, Outcome
from ..objects.models import Pipeline
from ..observability import Metrics, get_logger
from ..pipeline import (
    CallerRequest,
    Executor,
    FinalEvent,
    RunIdentity,
    RunRecord,
    refusal,
)
from ..settings.models import PathSettings
from .bodies import is_uuid7
from .joining import RunJoiner
from .observing import log_run_end, record_end_metrics
from .records import RecordKey, RecordTable
from .resuming import StreamResumer

log = get_logger("acaciapier.entry")

HOUSEKEEPING_INTERVAL_MS = 500.0
DRAIN_POLL_MS = 20.0
SHUTDOWN_RETRY_AFTER_MS = 200
OPEN_LIMIT_RETRY_AFTER_MS = 1_000


class ClaimedRuns(Protocol):
    """Runs requests that may not be repeated, under a claim."""

    async def run(self, record: RunRecord, pipeline: Pipeline) -> None:
        """Claim the request and run it, or follow the run of its claimant."""


@dataclass(frozen=True)
class ServiceDependencies:
    """Dependencies of `RequestService`."""

    executor: Executor
    resumer: StreamResumer
    joiner: RunJoiner
    configuration: Callable[[], ConfigurationState]
    claimed: ClaimedRuns
    metrics: Metrics | None
    clock: Clock
    random: random.Random
    settings: PathSettings


class RequestService:
    """Accepts requests and keeps their records.

    Parameters
    ----------
    dependencies : ServiceDependencies
        Executor, configuration and other dependencies.
    nursery : trio.Nursery
        Executes the runs, which outlive the connection of their caller.
    """

    def __init__(self, dependencies: ServiceDependencies, nursery: trio.Nursery):
        self._dependencies = dependencies
        self._nursery = nursery
        self._stop_requested = trio.Event()
        self._open_exchanges = 0
        settings = dependencies.settings
        self.records = RecordTable(
            dependencies.clock, settings.keep_ended_ms, settings.keep_ended_claimed_ms
        )

    @property
    def draining(self) -> bool:
        """Whether new requests are refused."""
        return self._stop_requested.is_set()

    @property
    def ready(self) -> bool:
        """Whether a load balancer should send requests to this instance."""
        return not self.draining and self._dependencies.configuration().number > 0

    def refuse_new_after(self, stop_requested: trio.Event) -> None:
        """Refuse new requests once `stop_requested` is set."""
        self._stop_requested = stop_requested

    @contextmanager
    def track_exchange(self) -> Iterator[None]:
        """Count an open HTTP exchange or peer stream, for which a drain waits."""
        self._open_exchanges += 1
        try:
            yield
        finally:
            self._open_exchanges -= 1

    def submit(self, request: CallerRequest) -> RunRecord | FinalEvent:
        """Start a request or join its existing run.

        Returns
        -------
        RunRecord or FinalEvent
            The record to read, or the refusal.
        """
        key = RecordKey(request.workspace, request.request_id)
        present = self.records.get(key)
        if present is not None and not _may_rerun(present):
            return self._join(present, request)
        state = self._dependencies.configuration()
        pipeline = state.route(request.workspace, request.pipeline, request.request_id)
        refused = self._find_refusal(request, pipeline)
        if refused is not None:
            return _recovery_refusal(refused) if request.recover else refused
        request = _with_defaults(request, pipeline)
        record = self._open_record(key, request, state.number)
        self._nursery.start_soon(self._run, key, record, pipeline)
        return record

    async def attach(
        self, workspace: WorkspaceId, request_id: RequestId, token: str, position: int
    ) -> RunRecord | FinalEvent:
        """Return the record of a request, resumed by `token` if it ran elsewhere."""
        present = self.records.get(RecordKey(workspace, request_id))
        if present is not None:
            return present
        if not token:
            message = f"request {request_id} does not run on this instance"
            return refusal(Cause.UNKNOWN_REQUEST, message, outcome=Outcome.UNKNOWN)
        resumed = self._dependencies.resumer.check(workspace, request_id, token)
        if resumed.is_err():
            message = resumed.unwrap_err()
            return refusal(Cause.FORBIDDEN, message, outcome=Outcome.UNKNOWN)
        return self._resume(resumed.unwrap())

    def find_for_peer(self, request: CallerRequest) -> RunRecord | FinalEvent:
        """Return the record of a request for a peer that follows it."""
        present = self.records.get(RecordKey(request.workspace, request.request_id))
        if present is not None and not _was_cancelled(present):
            return present
        message = f"request {request.request_id} is not held here any more"
        return refusal(Cause.ANSWER_GONE, message, outcome=Outcome.UNKNOWN)

    def cancel(self, workspace: WorkspaceId, request_id: RequestId) -> bool:
        """Cancel a running request; return False if it is not running here."""
        record = self.records.get(RecordKey(workspace, request_id))
        if record is None or record.final is not None:
            return False
        record.cancel_scope.cancel()
        return True

    async def run_housekeeping(self) -> None:
        """Periodically evict old records and cancel runs whose callers disconnected."""
        while True:
            await trio.sleep(to_s(HOUSEKEEPING_INTERVAL_MS))
            self.records.evict_ended()
            self._cancel_abandoned()

    async def drain(self, limit_ms: float) -> None:
        """Wait until all requests are answered, and cancel the rest at `limit_ms`."""
        with trio.move_on_after(to_s(limit_ms)):
            while self._is_busy():
                await trio.sleep(to_s(DRAIN_POLL_MS))
        for record in self.records.running:
            record.cancel_scope.cancel()

    def _is_busy(self) -> bool:
        return len(self.records) > 0 or self._open_exchanges > 0

    def _find_refusal(
        self, request: CallerRequest, pipeline: Pipeline | None
    ) -> FinalEvent | None:
        if self.draining:
            message = "this instance is shutting down"
            return refusal(Cause.SHUTTING_DOWN, message, SHUTDOWN_RETRY_AFTER_MS)
        if pipeline is None:
            message = f"there is no pipeline {request.pipeline}"
            return refusal(Cause.UNKNOWN_PIPELINE, message)
        if request.recover and not needs_claim(request, pipeline):
            message = f"request {request.request_id} does not run on this instance"
            return refusal(Cause.UNKNOWN_REQUEST, message, outcome=Outcome.UNKNOWN)
        if len(self.records) >= self._dependencies.settings.max_open_requests:
            message = "this instance has too many open requests"
            return refusal(Cause.OVERLOAD, message, OPEN_LIMIT_RETRY_AFTER_MS)
        if needs_claim(request, pipeline) and not is_uuid7(request.request_id):
            message = "the id of a request that may not be repeated is a UUID version 7"
            return refusal(Cause.BAD_REQUEST, message)
        return None

    def _join(
        self, record: RunRecord, request: CallerRequest
    ) -> RunRecord | FinalEvent:
        if record.fingerprint != request.fingerprint:
            message = f"request {request.request_id} has been sent with other content"
            return refusal(Cause.ID_REUSED, message)
        return record

    def _open_record(
        self, key: RecordKey, request: CallerRequest, number: int
    ) -> RunRecord:
        run_id = RunId(str(uuid.UUID(int=self._dependencies.random.getrandbits(128))))
        identity = RunIdentity(request.request_id, run_id, number)
        record = RunRecord(request, identity, self._dependencies.clock)
        self._add_record(key, record)
        return record

    def _add_record(self, key: RecordKey, record: RunRecord) -> None:
        self.records.add(key, record)
        if self._dependencies.metrics is not None:
            self._dependencies.metrics.request_opened()

    def _resume(self, payload) -> RunRecord:
        identity = RunIdentity(
            RequestId(payload.request_id),
            RunId(payload.run_id),
            payload.configuration_number,
        )
        request = self._dependencies.resumer.build_request(payload)
        fingerprint = Fingerprint(payload.fingerprint)
        record = RunRecord(request, identity, self._dependencies.clock, fingerprint)
        key = RecordKey(request.workspace, request.request_id)
        self._add_record(key, record)
        self._nursery.start_soon(self._run_resumed, key, record, payload)
        return record

    async def _run_resumed(self, key: RecordKey, record: RunRecord, payload) -> None:
        await self._run_to_final_event(record, self._follow_or_resume, record, payload)
        self._end(key, record)

    async def _follow_or_resume(self, record: RunRecord, payload) -> None:
        """Follow the run at its instance, or read the engine's stream if that fails.

        An instance whose caller has disconnected cancels the run after a grace
        period unless it has another reader, so the run is followed if possible.
        If the instance becomes unreachable, the parts copied from it are
        discarded, because the engine's stream is read from its start.
        """
        if await self._dependencies.joiner.follow(record, InstanceId(payload.instance)):
            return
        if record.count:
            record.restart(record.identity, "the instance of the run is lost")
        await self._dependencies.resumer.run(record, payload)

    async def _run(self, key: RecordKey, record: RunRecord, pipeline: Pipeline) -> None:
        if needs_claim(record.request, pipeline):
            await self._run_to_final_event(
                record, self._dependencies.claimed.run, record, pipeline
            )
        else:
            run = self._dependencies.executor.run
            await self._run_to_final_event(
                record, run, record.request, pipeline, record
            )
        self._end(key, record)

    async def _run_to_final_event(self, record: RunRecord, action, *arguments) -> None:
        """Run `action`; the record is finished even if an exception escapes."""
        try:
            await action(*arguments)
        except Exception:
            log.exception(
                "request {} failed with an unexpected exception",
                record.request.request_id,
            )
        finally:
            message = "an internal error has ended the run"
            record.finish(refusal(Cause.INTERNAL, message, outcome=Outcome.UNKNOWN))

    def _end(self, key: RecordKey, record: RunRecord) -> None:
        final = record.final
        self.records.end(key, keep=final.outcome != Outcome.NOT_RUN.value)
        log_run_end(record)
        if self._dependencies.metrics is not None:
            record_end_metrics(record, self._dependencies.metrics)

    def _cancel_abandoned(self) -> None:
        now_s = self._dependencies.clock.monotonic_s()
        grace_s = to_s(self._dependencies.settings.reconnect_grace_ms)
        for record in self.records.running:
            abandoned = (
                record.readers == 0 and now_s - record.last_reader_left_s > grace_s
            )
            if abandoned and record.request.repeatable:
                record.cancel_scope.cancel()


def needs_claim(request: CallerRequest, pipeline: Pipeline) -> bool:
    """Return whether a request must be claimed before it runs."""
    if not request.repeatable:
        return True
    return any(not stage.repeatable for stage in pipeline.stages)


def _may_rerun(record: RunRecord) -> bool:
    """Return whether the request is repeatable and ended without its answer."""
    if record.final is None or not record.request.repeatable:
        return False
    return record.final.outcome != Outcome.DONE.value


def _recovery_refusal(refused: FinalEvent) -> FinalEvent:
    """Return the refusal with outcome unknown, as the request may have run before."""
    return msgspec.structs.replace(refused, outcome=Outcome.UNKNOWN.value)


def _was_cancelled(record: RunRecord) -> bool:
    return record.final is not None and record.final.cause == Cause.CANCELLED.value


def _with_defaults(request: CallerRequest, pipeline: Pipeline) -> CallerRequest:
    if request.deadline_ms:
        return request
    return replace(request, deadline_ms=pipeline.deadline_ms)
