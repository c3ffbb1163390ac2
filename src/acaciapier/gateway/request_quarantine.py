"""Quarantine of requests and prompt parts that crash workers.

Instances share their crash records.
"""

import random as random_module
from collections.abc import Awaitable, Callable, Collection, Iterable

import trio

from ..app.crash_records import from_entries, to_entry
from ..core.clock import Clock, to_s
from ..core.ids import Incarnation, InstanceId, PoolName, TargetId
from ..core.stages import StageKind
from ..exceptions import PeerUnavailable
from ..policy.models import CallOutcome, CallReport
from ..policy.quarantine import Quarantine
from ..policy.settings import PolicySettings
from ..wire.messages.gateway import Heartbeat
from ..wire.messages.operations import CrashRecordList, FetchCrashRecords
from ..wire.messages.quarantine import CrashRecordEntry, Strikes
from .models import Worker
from .part_quarantine import (
    PartBlock,
    PartQuarantine,
    is_part_record,
    is_whole_request,
    whole_request,
)
from .peers import Peers
from .prompt_parts import PartId
from .request_state import RequestState, WorkerSend
from .supervision import TaskSupervisor

PROBE_DELAY_MS = 40.0
"""Delay before a worker that broke off a request is probed. A crashed worker refuses
connections at once; one that only reset a connection accepts new ones."""

PROBE_TIMEOUT_MS = 300.0
"""A healthy worker accepts a connection within a few milliseconds."""

WRITE_SETTLE_MS = 300.0
"""A worker that crashes later than this after it began to write on a prompt did not
crash by it."""

FETCH_DELAY_MS = 300.0
"""Delay before records are fetched from a peer that has others: most of them arrive
meanwhile, since instances send new records to all."""

FETCH_TIMEOUT_MS = 500.0
"""Timeout of a fetch; records have about a hundred bytes each."""

MAX_MESSAGE_RECORDS = 1_000
"""Crash records in one message; a record of the longest ids has under a kilobyte."""

CRASH_RECORD_EXPIRY_MS = 60_000
"""Callers retry a crashing request within its deadline, and other callers send it again
within seconds. Workers are replaced by fixed versions within minutes."""


class RequestQuarantine:
    """Blocks requests, and requests with prompt parts, that have crashed workers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Source of record ids.
    peers : Peers
        The other instances, which exchange crash records.
    log : callable
        Logs an event with its fields.
    tasks : TaskSupervisor
        Runs the probes of workers that may have crashed.
    is_reachable : callable
        Coroutine that returns whether a worker accepts connections, given the worker
        and a timeout in milliseconds.
    """

    def __init__(
        self,
        clock: Clock,
        random: random_module.Random,
        peers: Peers,
        log: Callable[..., None],
        tasks: TaskSupervisor,
        is_reachable: Callable[[Worker, float], Awaitable[bool]],
    ):
        settings = PolicySettings(crash_record_expiry_ms=CRASH_RECORD_EXPIRY_MS)
        self._quarantine = Quarantine(clock, random, settings)
        self._parts = PartQuarantine(clock, peers.leads)
        self._logged_blocks: dict[PartId, PartBlock] = {}
        self._compared: tuple[int, int] | None = None
        """Digests of a peer and of this instance after the last fetch."""
        self._fetching = False
        self._clock = clock
        self._peers = peers
        self._log = log
        self._tasks = tasks
        self._is_reachable = is_reachable

    @property
    def crashes_digest(self) -> int:
        """Hash of the crash records of requests and prompt parts."""
        return self._parts.digest ^ self._quarantine.digest

    def block_reason(self, state: RequestState) -> dict[str, str] | None:
        """Return the blocked fingerprint or part of a request; None if it may run.

        A stream of which a worker has written events goes on whatever its parts.
        """
        if self._quarantine.blocked(state.fingerprint) is not None:
            return {"fingerprint": state.fingerprint}
        if state.last_event_id is not None:
            return None
        parts = (whole_request(state.fingerprint), *state.metadata.shared_part_ids)
        part = self._parts.blocked_part(parts, state.metadata.attempt)
        if part is not None and is_whole_request(part):
            return {"fingerprint": state.fingerprint}
        return None if part is None else {"part": part}

    def is_trial(self, state: RequestState) -> bool:
        """Return whether a request tries what was blocked; a crash must not repeat."""
        parts = (whole_request(state.fingerprint),)
        return self._parts.is_tried(parts, state.metadata.attempt)

    def blocked_parts(self, parts: Collection[PartId]) -> list[PartId]:
        """Return the blocked ones of the parts of a prompt."""
        blocks = self._parts.blocks()
        return [part for part in parts if part in blocks]

    def record_send(self, state: RequestState, worker: Worker) -> None:
        """Record that a request is sent to a worker."""
        pool, target = PoolName(worker.service), TargetId(worker.id)
        self._quarantine.sent(state.fingerprint, pool, target)

    def record_end(self, state: RequestState, send: WorkerSend, done: bool) -> None:
        """Record that a send has ended without a crash of its worker."""
        outcome = CallOutcome.DONE if done else CallOutcome.FAILED
        self._quarantine.ended(_report(send.worker, outcome), state.fingerprint)
        if done and send.begun_s is not None:
            parts = state.metadata.shared_part_ids
            self._parts.record_written(parts, send.worker, send.begun_s)
        whole = whole_request(state.fingerprint)
        if done and self._parts.is_suspect(whole):
            begun_s = send.begun_s or self._clock.monotonic_s()
            self._parts.record_written([whole], send.worker, begun_s)
        self._publish()

    def check_for_crash(self, state: RequestState, send: WorkerSend) -> None:
        """Probe in the background whether a worker that broke off a request crashed."""
        self._tasks.start_soon(self._probe_worker, state, send.worker, send.begun_s)

    async def handle_crash_records(self, peer: InstanceId, message: Strikes) -> None:
        """Merge the new crash records of a peer."""
        self._merge(message.records, new=True)

    async def answer_fetch(
        self, peer: InstanceId, message: FetchCrashRecords
    ) -> CrashRecordList:
        """Return the newest crash records, as many as a message holds."""
        records = [*self._quarantine.records(), *self._parts.records()]
        records.sort(key=lambda record: record.at_ms)
        return CrashRecordList(tuple(map(to_entry, records[-MAX_MESSAGE_RECORDS:])))

    def handle_heartbeat(self, peer: InstanceId, heartbeat: Heartbeat) -> None:
        """Start a fetch if a peer has other records.

        An instance that started, or was cut off, missed the records sent meanwhile.
        """
        if self._fetching or not self._lacks_records(heartbeat):
            return
        self._fetching = True
        self._tasks.start_soon(self._fetch, peer, heartbeat)

    def _lacks_records(self, heartbeat: Heartbeat) -> bool:
        theirs, own = heartbeat.part_crashes_digest, self.crashes_digest
        return theirs not in (0, own) and self._compared != (theirs, own)

    async def _fetch(self, peer: InstanceId, heartbeat: Heartbeat) -> None:
        try:
            await trio.sleep(to_s(FETCH_DELAY_MS))
            if not self._lacks_records(heartbeat):
                return
            answer = await self._peers.call(peer, FetchCrashRecords(), FETCH_TIMEOUT_MS)
            if isinstance(answer, CrashRecordList):
                self._merge(answer.records, new=False)
                self._compared = (heartbeat.part_crashes_digest, self.crashes_digest)
        except PeerUnavailable as error:
            self._log("crash_records_not_fetched", peer=peer, reason=str(error))
        finally:
            self._fetching = False

    def _merge(self, entries: Iterable[CrashRecordEntry], new: bool) -> None:
        records = from_entries(entries)
        self._parts.merge(filter(is_part_record, records), new)
        self._quarantine.merge(
            record for record in records if not is_part_record(record)
        )
        self._log_blocks()

    async def _probe_worker(
        self, state: RequestState, worker: Worker, begun_s: float | None
    ) -> None:
        last_event = state.last_event_id
        broken_s = self._clock.monotonic_s()
        await trio.sleep(to_s(PROBE_DELAY_MS))
        reachable = await self._is_reachable(worker, PROBE_TIMEOUT_MS)
        outcome = CallOutcome.FAILED if reachable else CallOutcome.CRASHED
        self._quarantine.ended(_report(worker, outcome), state.fingerprint)
        if outcome is CallOutcome.CRASHED:
            self._parts.record_crash([whole_request(state.fingerprint)], worker)
            if begun_s is None or broken_s - begun_s < to_s(WRITE_SETTLE_MS):
                self._parts.record_crash(state.metadata.shared_part_ids, worker)
            self._log(
                "worker_crashed_under_request",
                request=state.metadata.attempt,
                worker=worker.id,
                fingerprint=state.fingerprint,
                crashes=self._quarantine.crash_count(state.fingerprint),
                parts=state.metadata.shared_part_ids,
                last_event=last_event,
            )
        self._publish()

    def _publish(self) -> None:
        new = (*self._quarantine.pop_new_records(), *self._parts.pop_new_records())
        for start in range(0, len(new), MAX_MESSAGE_RECORDS):
            batch = new[start : start + MAX_MESSAGE_RECORDS]
            self._peers.send_to_all(Strikes(tuple(map(to_entry, batch))))
        if new:
            self._log_blocks()

    def _log_blocks(self) -> None:
        """Log the prompt parts that are blocked, or no longer blocked, since before."""
        before, now = self._logged_blocks, self._parts.blocks()
        self._logged_blocks = now
        for part, block in now.items():
            if block != before.get(part):
                self._log(f"{_kind(part)}_blocked", part=part, crashes=block.crashes)
        for part in before.keys() - now.keys():
            self._log(f"{_kind(part)}_released", part=part)


def _kind(part: PartId) -> str:
    return "whole_request" if is_whole_request(part) else "prompt_part"


def _report(worker: Worker, outcome: CallOutcome) -> CallReport:
    return CallReport(
        TargetId(worker.id),
        Incarnation(worker.started_ms),
        PoolName(worker.service),
        StageKind.SERVICE,
        outcome,
        elapsed_ms=0.0,
        load=None,
    )
