"""The service of an entry instance: submits, joins, resumes and cancels requests."""

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
from .bodies import has_time
from .joining import RunJoiner
from .observing import log_end, observe_end
from .records import RecordKey, RecordTable
from .resuming import StreamResumer

log = get_logger("acaciapier.entry")

COLLECT_INTERVAL_MS = 500.0
DRAIN_POLL_MS = 20.0
SHUTDOWN_RETRY_AFTER_MS = 200
OPEN_LIMIT_RETRY_AFTER_MS = 1_000


class ClaimedRuns(Protocol):
    """Runs requests that may not be repeated, under a claim."""

    async def run(self, record: RunRecord, pipeline: Pipeline) -> None:
        """Claim the request and run it, or join the run of its claimant."""


@dataclass(frozen=True)
class ServiceParts:
    """What the service is made of."""

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
    parts : ServiceParts
        Executor, configuration and the like.
    nursery : trio.Nursery
        Where runs are executed; they outlive the connection of their caller.
    """

    def __init__(self, parts: ServiceParts, nursery: trio.Nursery):
        self._parts = parts
        self._nursery = nursery
        self._stop_requested = trio.Event()
        self._open_exchanges = 0
        settings = parts.settings
        self.records = RecordTable(
            parts.clock, settings.keep_ended_ms, settings.keep_ended_claimed_ms
        )

    @property
    def draining(self) -> bool:
        """Whether new requests are refused."""
        return self._stop_requested.is_set()

    @property
    def ready(self) -> bool:
        """Whether a balancer should send requests here."""
        return not self.draining and self._parts.configuration().number > 0

    def refuse_new_when(self, stop_requested: trio.Event) -> None:
        """Refuse new requests from the moment that `stop_requested` is set."""
        self._stop_requested = stop_requested

    @contextmanager
    def exchange(self) -> Iterator[None]:
        """Count a caller's exchange, so that a drain waits for its end."""
        self._open_exchanges += 1
        try:
            yield
        finally:
            self._open_exchanges -= 1

    def submit(self, request: CallerRequest) -> RunRecord | FinalEvent:
        """Start a request or join its present run.

        Returns
        -------
        RunRecord or FinalEvent
            The record to read, or why nothing runs.
        """
        key = RecordKey(request.workspace, request.request_id)
        present = self.records.get(key)
        if present is not None and not _may_run_anew(present):
            return self._join(present, request)
        state = self._parts.configuration()
        pipeline = state.route(request.workspace, request.pipeline, request.request_id)
        refused = self._refuse(request, pipeline)
        if refused is not None:
            return _as_recovery(refused) if request.recover else refused
        request = _with_defaults(request, pipeline)
        record = self._open_record(key, request, state.number)
        self._nursery.start_soon(self._run, key, record, pipeline)
        return record

    async def attach(
        self, workspace: WorkspaceId, request_id: RequestId, token: str, position: int
    ) -> RunRecord | FinalEvent:
        """Return the record of a request that was started here or elsewhere."""
        present = self.records.get(RecordKey(workspace, request_id))
        if present is not None:
            return present
        if not token:
            message = f"request {request_id} does not run on this instance"
            return refusal(Cause.UNKNOWN_REQUEST, message, outcome=Outcome.UNKNOWN)
        resumed = self._parts.resumer.check(workspace, request_id, token)
        if resumed.is_err():
            message = resumed.unwrap_err()
            return refusal(Cause.FORBIDDEN, message, outcome=Outcome.UNKNOWN)
        return self._resume(resumed.unwrap())

    def find_for_peer(self, request: CallerRequest) -> RunRecord | FinalEvent:
        """Return the record of a request that a peer wants to follow."""
        present = self.records.get(RecordKey(request.workspace, request.request_id))
        if present is not None and not _was_cancelled(present):
            return present
        message = f"request {request.request_id} is not held here any more"
        return refusal(Cause.ANSWER_GONE, message, outcome=Outcome.UNKNOWN)

    def cancel(self, workspace: WorkspaceId, request_id: RequestId) -> bool:
        """Cancel a running request; False if it does not run here."""
        record = self.records.get(RecordKey(workspace, request_id))
        if record is None or record.final is not None:
            return False
        record.cancel_scope.cancel()
        return True

    async def run_collector(self) -> None:
        """Forget old records, and cancel runs whose callers have left."""
        while True:
            await trio.sleep(to_s(COLLECT_INTERVAL_MS))
            self.records.collect()
            self._cancel_abandoned()

    async def drain(self, limit_ms: float) -> None:
        """Wait until the requests in flight have been answered."""
        with trio.move_on_after(to_s(limit_ms)):
            while self._is_busy():
                await trio.sleep(to_s(DRAIN_POLL_MS))
        for record in self.records.running:
            record.cancel_scope.cancel()

    def _is_busy(self) -> bool:
        return len(self.records) > 0 or self._open_exchanges > 0

    def _refuse(
        self, request: CallerRequest, pipeline: Pipeline | None
    ) -> FinalEvent | None:
        if self.draining:
            message = "this instance is shutting down"
            return refusal(Cause.SHUTTING_DOWN, message, SHUTDOWN_RETRY_AFTER_MS)
        if pipeline is None:
            message = f"there is no pipeline {request.pipeline}"
            return refusal(Cause.UNKNOWN_PIPELINE, message)
        if request.recover and not is_claimed(request, pipeline):
            message = f"request {request.request_id} does not run on this instance"
            return refusal(Cause.UNKNOWN_REQUEST, message, outcome=Outcome.UNKNOWN)
        if len(self.records) >= self._parts.settings.max_open_requests:
            message = "this instance has too many open requests"
            return refusal(Cause.OVERLOAD, message, OPEN_LIMIT_RETRY_AFTER_MS)
        if is_claimed(request, pipeline) and not has_time(request.request_id):
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
        run_id = RunId(str(uuid.UUID(int=self._parts.random.getrandbits(128))))
        identity = RunIdentity(request.request_id, run_id, number)
        record = RunRecord(request, identity, self._parts.clock)
        self._hold(key, record)
        return record

    def _hold(self, key: RecordKey, record: RunRecord) -> None:
        self.records.add(key, record)
        if self._parts.metrics is not None:
            self._parts.metrics.request_opened()

    def _resume(self, claim) -> RunRecord:
        identity = RunIdentity(
            RequestId(claim.request_id),
            RunId(claim.run_id),
            claim.configuration_number,
        )
        request = self._parts.resumer.request_of(claim)
        fingerprint = Fingerprint(claim.fingerprint)
        record = RunRecord(request, identity, self._parts.clock, fingerprint)
        key = RecordKey(request.workspace, request.request_id)
        self._hold(key, record)
        self._nursery.start_soon(self._run_resumed, key, record, claim)
        return record

    async def _run_resumed(self, key: RecordKey, record: RunRecord, claim) -> None:
        await self._guard(record, self._follow_or_resume, record, claim)
        self._end(key, record)

    async def _follow_or_resume(self, record: RunRecord, claim) -> None:
        """Follow the run while its instance lives, else read the engine's stream.

        An instance whose caller has left cancels the run after a while, unless
        somebody follows it. Parts copied from an instance that is then lost are
        discarded, since the stream is read from its start.
        """
        if await self._parts.joiner.follow(record, InstanceId(claim.instance)):
            return
        if record.count:
            record.restart(record.identity, "the instance of the run is lost")
        await self._parts.resumer.run(record, claim)

    async def _run(self, key: RecordKey, record: RunRecord, pipeline: Pipeline) -> None:
        if is_claimed(record.request, pipeline):
            await self._guard(record, self._parts.claimed.run, record, pipeline)
        else:
            run = self._parts.executor.run
            await self._guard(record, run, record.request, pipeline, record)
        self._end(key, record)

    async def _guard(self, record: RunRecord, action, *arguments) -> None:
        """Run `action`; a fault of ours still ends the record with its final event."""
        try:
            await action(*arguments)
        except Exception:
            log.exception("request {} has failed", record.request.request_id)
        finally:
            message = "an internal error has ended the run"
            record.finish(refusal(Cause.INTERNAL, message, outcome=Outcome.UNKNOWN))

    def _end(self, key: RecordKey, record: RunRecord) -> None:
        final = record.final
        self.records.end(key, keep=final.outcome != Outcome.NOT_RUN.value)
        log_end(record)
        if self._parts.metrics is not None:
            observe_end(record, self._parts.metrics)

    def _cancel_abandoned(self) -> None:
        now_s = self._parts.clock.monotonic_s()
        grace_s = to_s(self._parts.settings.reconnect_grace_ms)
        for record in self.records.running:
            left = record.readers == 0 and now_s - record.last_reader_s > grace_s
            if left and record.request.repeatable:
                record.cancel_scope.cancel()


def is_claimed(request: CallerRequest, pipeline: Pipeline) -> bool:
    """Tell whether a request must be claimed before it runs."""
    if not request.repeatable:
        return True
    return any(not stage.repeatable for stage in pipeline.stages)


def _may_run_anew(record: RunRecord) -> bool:
    """Tell whether a request that ended without its answer may run again."""
    if record.final is None or not record.request.repeatable:
        return False
    return record.final.outcome != Outcome.DONE.value


def _as_recovery(refused: FinalEvent) -> FinalEvent:
    """Return the refusal of a recovery: the request may have run before."""
    return msgspec.structs.replace(refused, outcome=Outcome.UNKNOWN.value)


def _was_cancelled(record: RunRecord) -> bool:
    return record.final is not None and record.final.cause == Cause.CANCELLED.value


def _with_defaults(request: CallerRequest, pipeline: Pipeline) -> CallerRequest:
    if request.deadline_ms:
        return request
    return replace(request, deadline_ms=pipeline.deadline_ms)
