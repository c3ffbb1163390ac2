"""Requests that crash the workers that run them, known to all instances."""

import random as random_module
from collections.abc import Callable

import trio

from ..app.crash_records import from_entries, to_entry
from ..core.clock import Clock, to_s
from ..core.ids import Fingerprint, Incarnation, InstanceId, PoolName, TargetId
from ..http.client import ConnectFailed, HttpConnection
from ..objects.models import StageKind
from ..policy.models import CallOutcome, CallReport
from ..policy.quarantine import Quarantine
from ..policy.settings import PolicySettings
from ..wire.messages.quarantine import Strikes
from .models import Worker
from .peers import Peers
from .supervision import TaskSupervisor

CONFIRM_AFTER_MS = 40.0
"""A crashed worker refuses connections at once; one that only reset accepts them."""

CONFIRM_TIMEOUT_MS = 300.0
"""A worker that is well accepts a connection in a few milliseconds."""

STRIKE_EXPIRY_MS = 60_000
"""A caller that repeats a crashing request does so within its deadline, and others
come again within seconds; workers are replaced by better versions within minutes."""


class Suspects:
    """Tells which requests may not run, and learns it from crashes of workers.

    Parameters
    ----------
    clock : Clock
        Source of wall-clock time.
    random : random.Random
        Source of record ids.
    peers : Peers
        The other instances.
    log : callable
        Told decisions, as a kind and fields.
    tasks : TaskSupervisor
        Where crashes are confirmed.
    """

    def __init__(
        self,
        clock: Clock,
        random: random_module.Random,
        peers: Peers,
        log: Callable[..., None],
        tasks: TaskSupervisor,
    ):
        settings = PolicySettings(crash_record_expiry_ms=STRIKE_EXPIRY_MS)
        self._quarantine = Quarantine(clock, random, settings)
        self._peers = peers
        self._log = log
        self._tasks = tasks

    def blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request's content may not run."""
        return self._quarantine.blocked(fingerprint) is not None

    def sent(self, fingerprint: Fingerprint, worker: Worker) -> None:
        """Note that a request goes to a worker."""
        pool, target = PoolName(worker.service), TargetId(worker.id)
        self._quarantine.sent(fingerprint, pool, target)

    def ended(self, fingerprint: Fingerprint, worker: Worker, done: bool) -> None:
        """Note that a request has ended without a crash."""
        outcome = CallOutcome.DONE if done else CallOutcome.FAILED
        self._quarantine.ended(_report(worker, outcome), fingerprint)
        self._publish()

    def broken(self, fingerprint: Fingerprint, worker: Worker, attempt: str) -> None:
        """Look whether the worker that broke a request off has crashed."""
        self._tasks.start_soon(self._confirm, fingerprint, worker, attempt)

    async def hear(self, peer: InstanceId, message: Strikes) -> None:
        """Take over the records of a peer."""
        self._quarantine.merge(from_entries(message.records))

    async def _confirm(
        self, fingerprint: Fingerprint, worker: Worker, attempt: str
    ) -> None:
        await trio.sleep(to_s(CONFIRM_AFTER_MS))
        outcome = CallOutcome.FAILED
        try:
            connection = await HttpConnection.open(
                worker.host, worker.port, CONFIRM_TIMEOUT_MS
            )
            connection.close()
        except ConnectFailed:
            outcome = CallOutcome.CRASHED
        self._quarantine.ended(_report(worker, outcome), fingerprint)
        if outcome is CallOutcome.CRASHED:
            self._log(
                "worker_crashed_under_request",
                request=attempt,
                worker=worker.id,
                fingerprint=fingerprint,
                crashes=self._quarantine.crash_count(fingerprint),
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
