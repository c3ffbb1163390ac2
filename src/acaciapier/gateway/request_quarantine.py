"""Quarantine of requests that crash workers; instances share their crash records."""

import random as random_module
from collections.abc import Callable

import trio

from ..app.crash_records import from_entries, to_entry
from ..core.clock import Clock, to_s
from ..core.ids import Fingerprint, Incarnation, InstanceId, PoolName, TargetId
from ..core.stages import StageKind
from ..http.client import ConnectFailed, HttpConnection
from ..policy.models import CallOutcome, CallReport
from ..policy.quarantine import Quarantine
from ..policy.settings import PolicySettings
from ..wire.messages.quarantine import Strikes
from .models import Worker
from .peers import Peers
from .request_state import RequestState
from .supervision import TaskSupervisor

PROBE_DELAY_MS = 40.0
"""Delay before a worker that broke off a request is probed. A crashed worker refuses
connections at once; one that only reset a connection accepts new ones."""

PROBE_TIMEOUT_MS = 300.0
"""A healthy worker accepts a connection within a few milliseconds."""

CRASH_RECORD_EXPIRY_MS = 60_000
"""Callers retry a crashing request within its deadline, and other callers send it again
within seconds. Workers are replaced by fixed versions within minutes."""


class RequestQuarantine:
    """Blocks requests that have crashed workers.

    Parameters
    ----------
    clock : Clock
        Source of wall-clock time.
    random : random.Random
        Source of record ids.
    peers : Peers
        The other instances, which exchange crash records.
    log : callable
        Logs an event with its fields.
    tasks : TaskSupervisor
        Runs the probes of workers that may have crashed.
    """

    def __init__(
        self,
        clock: Clock,
        random: random_module.Random,
        peers: Peers,
        log: Callable[..., None],
        tasks: TaskSupervisor,
    ):
        settings = PolicySettings(crash_record_expiry_ms=CRASH_RECORD_EXPIRY_MS)
        self._quarantine = Quarantine(clock, random, settings)
        self._peers = peers
        self._log = log
        self._tasks = tasks

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether requests with this fingerprint are refused."""
        return self._quarantine.blocked(fingerprint) is not None

    def record_send(self, fingerprint: Fingerprint, worker: Worker) -> None:
        """Record that a request is sent to a worker."""
        pool, target = PoolName(worker.service), TargetId(worker.id)
        self._quarantine.sent(fingerprint, pool, target)

    def record_end(self, fingerprint: Fingerprint, worker: Worker, done: bool) -> None:
        """Record that a request has ended without a crash of its worker."""
        outcome = CallOutcome.DONE if done else CallOutcome.FAILED
        self._quarantine.ended(_report(worker, outcome), fingerprint)
        self._publish()

    def check_for_crash(self, state: RequestState, worker: Worker) -> None:
        """Probe in the background whether a worker that broke off a request crashed."""
        self._tasks.start_soon(self._probe_worker, state, worker)

    async def handle_crash_records(self, peer: InstanceId, message: Strikes) -> None:
        """Merge the crash records of a peer."""
        self._quarantine.merge(from_entries(message.records))

    async def _probe_worker(self, state: RequestState, worker: Worker) -> None:
        last_event = state.events.last_id
        await trio.sleep(to_s(PROBE_DELAY_MS))
        outcome = CallOutcome.FAILED
        try:
            connection = await HttpConnection.open(
                worker.host, worker.port, PROBE_TIMEOUT_MS
            )
            connection.close()
        except ConnectFailed:
            outcome = CallOutcome.CRASHED
        self._quarantine.ended(_report(worker, outcome), state.fingerprint)
        if outcome is CallOutcome.CRASHED:
            self._log(
                "worker_crashed_under_request",
                request=state.metadata.attempt,
                worker=worker.id,
                fingerprint=state.fingerprint,
                crashes=self._quarantine.crash_count(state.fingerprint),
                parts=[part.id for part in state.metadata.shared_parts],
                last_event=last_event,
            )
        self._publish()

    def _publish(self) -> None:
        records = tuple(map(to_entry, self._quarantine.pop_new_records()))
        if records:
            self._peers.send_to_all(Strikes(records))


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
