"""Restores of the store in random histories, against a simple oracle.

The oracle knows what operators and workers last wrote. Three instances learn of it: two
from the store, the third from tables that the others hand on.
"""

from collections.abc import Callable

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.models import NO_POSITION, StorePosition, Worker, WorkerState
from acaciapier.platform.configuration import decode_configuration
from acaciapier_standins.platform.platform import configuration
from acaciapier_standins.platform.store import StandInStore

SERVICE = "book"
WRITE_AGAIN_S = 1.2
"""Time after a restore in which everybody has written again: one heartbeat."""
EXPIRY_S = 3.6
"""Time after a restore in which entries of ended workers expire: three heartbeats."""
SETTLED_S = 6.0
"""Time after a restore from which instances agree with the oracle."""

Position = Callable[[int, int], StorePosition]


def make_worker(number: int, started_ms: int, state: WorkerState) -> Worker:
    return Worker(
        f"w{number}", SERVICE, "10.0.0.1", 80 + number, "a", 1, state, started_ms
    )


class RestoreMachine(RuleBasedStateMachine):
    """Operators, workers and instances around a store that is restored from copies."""

    read_position: Position = staticmethod(StorePosition)
    """Makes the position of what the store answers."""
    handed_on: Position = staticmethod(StorePosition)
    """Makes the position of what a peer hands on."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.store = StandInStore(clock_s=self.clock.monotonic_s)
        self.version = 1
        self.workers: dict[int, Worker] = {}
        self.last_start_ms = 0
        self.restored_s: float | None = None
        self.seen_ready: list[set[str]] = [set(), set(), set()]
        self.seen_left: list[set[str]] = [set(), set(), set()]
        self.versions = [0, 0, 0]
        self.instances = [Catalogue(self.clock, decode_configuration) for _ in range(3)]
        self.watched = [NO_POSITION, NO_POSITION]

    @initialize()
    def start(self):
        self.write_configuration(1)
        for number in range(3):
            self.start_worker(number)
        for instance in (0, 1):
            self.list_store(instance)
        self.hand_on(0)

    @rule(step=st.integers(1, 3))
    def write_configuration(self, step):
        self.version += step
        self.store.put("config", "main", configuration(self.version, [], []))

    @rule(number=st.integers(0, 4))
    def start_worker(self, number):
        self.last_start_ms += 1
        worker = make_worker(number, self.last_start_ms, WorkerState.READY)
        self.workers[number] = worker
        self.store.put("servers", worker.id, worker)

    @precondition(lambda self: self.workers)
    @rule(data=st.data())
    def drain_worker(self, data):
        number = data.draw(st.sampled_from(sorted(self.workers)))
        worker = self.workers[number]
        leaving = msgspec.structs.replace(worker, state=WorkerState.DRAINING)
        self.workers[number] = leaving
        self.store.put("servers", worker.id, leaving)

    @precondition(lambda self: self.workers)
    @rule(data=st.data())
    def end_worker(self, data):
        number = data.draw(st.sampled_from(sorted(self.workers)))
        self.store.delete("servers", self.workers.pop(number).id)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, seconds):
        """Let time pass, in which the others write again and entries expire."""
        before_s = self.clock.monotonic_s()
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
        if self.restored_s is None:
            return
        if before_s < self.restored_s + WRITE_AGAIN_S <= self.clock.monotonic_s():
            self._write_again()
        if before_s < self.restored_s + EXPIRY_S <= self.clock.monotonic_s():
            for name in self.store.names("servers"):
                if name not in {worker.id for worker in self.workers.values()}:
                    self.store.delete("servers", name)

    def _write_again(self):
        self.store.put("config", "main", configuration(self.version, [], []))
        for worker in self.workers.values():
            self.store.put("servers", worker.id, worker)

    @rule(age_s=st.sampled_from([0.0, 0.3, 1.0, 3.0]))
    def restore(self, age_s):
        self.store.restore(age_s)
        self.restored_s = self.clock.monotonic_s()

    @rule(instance=st.integers(0, 1))
    def list_store(self, instance):
        catalogue = self.instances[instance]
        position = self.read_position(self.store.term, self.store.revision)
        for _, entry in self._objects("config"):
            source = msgspec.json.encode(entry)
            catalogue.update_configuration(position, source, "store")
        listed = [worker for _, worker in self._objects("servers")]
        catalogue.update_workers(position, listed, "store")
        self.watched[instance] = StorePosition(self.store.term, self.store.revision)
        self._note_left(instance)

    @rule(instance=st.integers(0, 1))
    def watch_store(self, instance):
        """Apply changes since the last call; list if there is no history."""
        since = self.watched[instance]
        if not self.store._has_history(since.revision, since.term):
            self.list_store(instance)
            return
        catalogue = self.instances[instance]
        position = self.read_position(self.store.term, self.store.revision)
        changes = [
            (stored["metadata"]["name"], None if deleted else stored["spec"])
            for stored, deleted in self.store._since("servers", since.revision)
        ]
        if changes:
            catalogue.apply_worker_changes(position, changes, "store")
        for stored, _ in self.store._since("config", since.revision):
            changed_at = self.read_position(self.store.term, stored["metadata"]["rev"])
            source = msgspec.json.encode(stored["spec"])
            catalogue.update_configuration(changed_at, source, "store")
        self.watched[instance] = StorePosition(self.store.term, self.store.revision)
        self._note_left(instance)

    @rule(source=st.integers(0, 1))
    def hand_on(self, source):
        """Hand the state of an instance on to the one that has no store."""
        giver, taker = self.instances[source], self.instances[2]
        if not giver.complete:
            return
        workers = self.handed_on(*giver.workers_position)
        taker.update_workers(workers, list(giver.workers.values()), "peer")
        position = self.handed_on(*giver.configuration_position)
        if taker.has_newer_configuration(giver.version, position):
            taker.update_configuration(position, giver.configuration_source, "peer")
        self._note_left(2)

    @rule()
    def settle(self):
        """After a while without trouble all instances agree with the oracle."""
        for _ in range(4):
            self.wait(2.0)
            for instance in (0, 1):
                self.list_store(instance)
            self.hand_on(0)
        expected = {
            worker.key
            for worker in self.workers.values()
            if worker.state is WorkerState.READY
        }
        for catalogue in self.instances:
            assert self._ready(catalogue) == expected
            assert catalogue.version == self.version

    @invariant()
    def no_configuration_goes_back(self):
        for number, catalogue in enumerate(self.instances):
            assert catalogue.version >= self.versions[number]
            self.versions[number] = catalogue.version

    @invariant()
    def no_worker_that_left_returns(self):
        for left, catalogue in zip(self.seen_left, self.instances, strict=True):
            assert not left & self._ready(catalogue)

    def _note_left(self, number: int):
        """Note the ended incarnations that an instance knows to have left."""
        running = {
            worker.key
            for worker in self.workers.values()
            if worker.state is WorkerState.READY
        }
        ready = self._ready(self.instances[number])
        self.seen_left[number] |= self.seen_ready[number] - ready - running
        self.seen_ready[number] |= ready

    @staticmethod
    def _ready(catalogue: Catalogue) -> set[str]:
        return {worker.key for worker in catalogue.workers_of(SERVICE)}

    def _objects(self, kind: str):
        return [
            (name, stored["spec"])
            for name, stored in self.store._objects.get(kind, {}).items()
        ]


SETTINGS = settings(
    max_examples=400,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
PLANTED_SETTINGS = settings(
    SETTINGS, phases=[Phase.generate], report_multiple_bugs=False
)


def test_restores_of_the_store_bring_nothing_back():
    run_state_machine_as_test(RestoreMachine, settings=SETTINGS)


class TermIgnored(RestoreMachine):
    """Planted fault: instances order what the store answers by revision alone."""

    read_position = staticmethod(lambda term, revision: StorePosition(1, revision))


class TermNotHandedOn(RestoreMachine):
    """Planted fault: peers hand on their tables without the term."""

    handed_on = staticmethod(lambda term, revision: StorePosition(1, revision))


class CopyBelieved(RestoreMachine):
    """Planted fault: instances take what the copy shows for news."""

    def __init__(self):
        super().__init__()
        for catalogue in self.instances:
            catalogue._is_outdated = lambda worker: False


class VersionIgnored(RestoreMachine):
    """Planted fault: instances order configurations by position alone."""

    def __init__(self):
        super().__init__()
        for catalogue in self.instances:
            catalogue.has_newer_configuration = (
                lambda version, position, catalogue=catalogue: (
                    position > catalogue.configuration_position
                )
            )


@pytest.mark.parametrize(
    "planted", [TermIgnored, TermNotHandedOn, CopyBelieved, VersionIgnored]
)
def test_planted_faults_are_found(planted):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(planted, settings=PLANTED_SETTINGS)
