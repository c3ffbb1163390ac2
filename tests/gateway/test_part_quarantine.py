"""Decisions of the quarantine of prompt parts, without a network."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from acaciapier.core.clock import ManualClock
from acaciapier.core.ids import Fingerprint
from acaciapier.gateway.models import Worker, WorkerState
from acaciapier.gateway.part_quarantine import (
    FIRST_BLOCK_MS,
    MAX_RETRIES,
    RECORD_EXPIRY_MS,
    SAME_CAUSE_GAP_MS,
    TRIAL_TURN_MS,
    PartQuarantine,
    whole_request,
)


def worker(number: int) -> Worker:
    return Worker(
        f"w{number}", "model", "10.0.0.1", 1_000, "zone", 8, WorkerState.READY, number
    )


def make(turn: bool = True) -> tuple[PartQuarantine, ManualClock]:
    clock = ManualClock()
    return PartQuarantine(clock, lambda key: turn), clock


def crash(quarantine, clock, number: int, *parts: str) -> None:
    clock.advance(1.0)
    quarantine.record_crash(parts, worker(number))


def written(quarantine, clock, *parts: str) -> None:
    """Record a response that began and ended after all crashes so far."""
    clock.advance(1.0)
    quarantine.record_written(parts, worker(0), clock.monotonic_s())


def test_a_part_is_blocked_after_two_crashes():
    quarantine, clock = make()
    crash(quarantine, clock, 1, "bad")
    assert quarantine.blocked_part(["bad"], "a") is None
    crash(quarantine, clock, 2, "bad")
    assert quarantine.blocked_part(["sound", "bad"], "a") == "bad"
    assert quarantine.blocked_part(["sound"], "a") is None


def test_a_crash_that_several_instances_report_counts_once():
    quarantine, clock = make()
    for _ in range(3):
        crash(quarantine, clock, 1, "bad")
    assert quarantine.blocked_part(["bad"], "a") is None


def test_workers_that_crash_at_the_same_moment_count_once():
    quarantine, clock = make()
    for number in range(5):
        quarantine.record_crash(["popular"], worker(number))
        clock.advance(SAME_CAUSE_GAP_MS / 2_000.0)
    assert quarantine.blocked_part(["popular"], "a") is None


def test_a_part_that_workers_have_written_on_is_not_blocked_beside_the_cause():
    quarantine, clock = make()
    written(quarantine, clock, "popular")
    for number in range(6):
        crash(quarantine, clock, number, "popular", "bad")
    assert quarantine.blocks().keys() == {"bad"}


def test_a_part_that_worked_before_is_blocked_when_it_begins_to_crash_workers():
    quarantine, clock = make()
    written(quarantine, clock, "turned")
    for number in range(3):
        crash(quarantine, clock, number, "turned", f"session-{number}")
    assert quarantine.blocks().keys() == {"turned"}


def test_parts_of_single_requests_that_were_sent_twice_do_not_hide_the_cause():
    quarantine, clock = make()
    for number in range(3):
        crash(quarantine, clock, 2 * number, "bad", f"session-{number}")
        crash(quarantine, clock, 2 * number + 1, "bad", f"session-{number}")
    assert "bad" in quarantine.blocks()
    assert quarantine.blocked_part(["other", "bad"], "a") == "bad"
    assert quarantine.blocked_part(["session-1"], "a") is None


def test_a_request_with_one_of_two_equal_suspects_is_tried_at_once():
    quarantine, clock = make()
    for number in range(2):
        crash(quarantine, clock, number, "popular", "bad")
    assert quarantine.blocked_part(["popular", "bad"], "a1") is not None
    assert quarantine.blocked_part(["popular"], "a2") is None
    assert quarantine.blocked_part(["popular"], "a3") == "popular"
    written(quarantine, clock, "popular")
    assert quarantine.blocks().keys() == {"bad"}
    assert quarantine.blocked_part(["popular"], "a4") is None


def test_a_response_clears_only_crashes_before_it_began():
    quarantine, clock = make()
    crash(quarantine, clock, 1, "part")
    begun_s = clock.monotonic_s() + 0.5
    crash(quarantine, clock, 2, "part")
    crash(quarantine, clock, 3, "part")
    quarantine.record_written(["part"], worker(0), begun_s)
    crash(quarantine, clock, 4, "part")
    assert quarantine.blocks()["part"].crashes == 3


def test_one_attempt_tries_a_part_when_its_block_is_over():
    quarantine, clock = make()
    for number in range(2):
        crash(quarantine, clock, number, "bad")
    clock.advance(FIRST_BLOCK_MS / 1_000.0)
    assert quarantine.blocked_part(["bad"], "a1") is None
    assert quarantine.blocked_part(["bad"], "a2") == "bad"
    assert quarantine.blocked_part(["bad"], "a1") is None
    clock.advance(TRIAL_TURN_MS / 1_000.0)
    assert quarantine.blocked_part(["bad"], "a3") is None


def test_a_crash_in_a_trial_doubles_the_block():
    quarantine, clock = make()
    for number in range(2):
        crash(quarantine, clock, number, "bad")
    clock.advance(FIRST_BLOCK_MS / 1_000.0)
    assert quarantine.blocked_part(["bad"], "a1") is None
    crash(quarantine, clock, 2, "bad")
    clock.advance(FIRST_BLOCK_MS / 1_000.0)
    assert quarantine.blocked_part(["bad"], "a1") == "bad"
    clock.advance(FIRST_BLOCK_MS / 1_000.0)
    assert quarantine.blocked_part(["bad"], "a2") is None


def test_a_part_with_very_many_crashes_is_blocked_for_the_longest_time():
    quarantine, clock = make()
    for number in range(1_100):
        quarantine.record_crash(["bad"], worker(number))
        clock.advance(2 * SAME_CAUSE_GAP_MS / 1_000.0)
    assert quarantine.blocked_part(["bad"], "a") == "bad"


def test_an_instance_without_the_turn_tries_nothing():
    quarantine, clock = make(turn=False)
    for number in range(2):
        crash(quarantine, clock, number, "bad")
    clock.advance(FIRST_BLOCK_MS / 500.0)
    assert quarantine.blocked_part(["bad"], "a1") == "bad"


def test_records_expire():
    quarantine, clock = make()
    for number in range(3):
        crash(quarantine, clock, number, "bad")
    clock.advance(RECORD_EXPIRY_MS / 1_000.0 + 1.0)
    assert quarantine.blocked_part(["bad"], "a") is None
    assert quarantine.records() == ()
    assert quarantine.digest == 0


def test_an_overlong_part_id_is_not_recorded():
    quarantine, clock = make()
    for number in range(3):
        crash(quarantine, clock, number, "x" * 10_000)
    assert quarantine.records() == ()


@given(st.data())
def test_instances_with_the_same_records_decide_alike(data):
    source, clock = make()
    parts = st.lists(st.sampled_from("abcd"), min_size=1, max_size=3, unique=True)
    for number in range(data.draw(st.integers(1, 8))):
        if data.draw(st.booleans()):
            crash(source, clock, number, *data.draw(parts))
        else:
            written(source, clock, *data.draw(parts))
    records = data.draw(st.permutations(source.records()))
    split = data.draw(st.integers(0, len(records)))
    other, _ = make()
    other._clock = clock
    other._known_good = source._known_good
    other.merge(records[:split], new=False)
    other.merge(records, new=False)
    assert other.digest == source.digest
    assert other.blocks() == source.blocks()


class Fleet:
    """Instances with requests to workers that one part crashes, in steps of 50 ms."""

    INSTANCES, WORKERS, STEP_S, RESTART_S = 9, 5, 0.05, 3.0
    BEFORE_WRITING_S, WRITING_S = 0.15, 0.5

    def __init__(self, seed: int):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.turns = random.Random(seed)
        self.instances = [self._instance(n) for n in range(self.INSTANCES)]
        self.up_s = dict.fromkeys(range(self.WORKERS), 0.0)
        self.incarnation = dict.fromkeys(range(self.WORKERS), 0)
        self.in_flight: list[dict] = []
        self.crashes_s: list[float] = []
        self.sends_s: list[float] = []
        self.sound = {"sent": 0, "begun": 0}

    def _instance(self, number: int) -> PartQuarantine:
        return PartQuarantine(
            self.clock,
            lambda key: random.Random(key).randrange(self.INSTANCES) == number,
        )

    def restart(self, number: int) -> None:
        """Replace an instance by one that fetches the records of a peer."""
        self.instances[number] = self._instance(number)
        peer = self.instances[(number + 1) % self.INSTANCES]
        self.instances[number].merge(peer.records(), new=False)

    def step(self, bad_per_s: float, sound_per_s: float) -> None:
        self.clock.advance(self.STEP_S)
        for rate, bad in ((bad_per_s, True), (sound_per_s, False)):
            if self.random.random() < rate * self.STEP_S:
                self._arrive(bad)
        for request in list(self.in_flight):
            self._advance(request)

    def _arrive(self, bad: bool) -> None:
        number = self.random.randrange(self.INSTANCES)
        session = f"session-{self.random.randrange(400)}"
        popular = f"popular-{self.random.randrange(4)}"
        parts = [popular, "bad", session] if bad else [popular, session]
        up = [w for w, at_s in self.up_s.items() if at_s <= self.clock.monotonic_s()]
        self.sound["sent"] += not bad
        attempt = f"{self.random.random()}"
        if not up or self.instances[number].blocked_part(parts, attempt) is not None:
            return
        if bad:
            self.sends_s.append(self.clock.monotonic_s())
        target = self.random.choice(up)
        self.in_flight.append(
            {
                "bad": bad,
                "instance": number,
                "parts": parts,
                "worker": target,
                "sent_s": self.clock.monotonic_s(),
                "begun_s": None,
            }
        )

    def _advance(self, request: dict) -> None:
        if request not in self.in_flight:
            return
        now_s = self.clock.monotonic_s()
        if request["begun_s"] is None:
            if now_s - request["sent_s"] >= self.BEFORE_WRITING_S:
                if request["bad"]:
                    self._crash(request["worker"])
                    return
                request["begun_s"] = now_s
                self.sound["begun"] += 1
        elif now_s - request["begun_s"] >= self.WRITING_S:
            self.in_flight.remove(request)
            quarantine = self.instances[request["instance"]]
            crashed = self._worker(request["worker"])
            quarantine.record_written(request["parts"], crashed, request["begun_s"])
            self._share(quarantine)

    def _worker(self, number: int) -> Worker:
        return worker(1_000 * number + self.incarnation[number])

    def _crash(self, number: int) -> None:
        self.crashes_s.append(self.clock.monotonic_s())
        self.up_s[number] = self.clock.monotonic_s() + self.RESTART_S
        for request in [r for r in self.in_flight if r["worker"] == number]:
            self.in_flight.remove(request)
            if request["begun_s"] is None:
                quarantine = self.instances[request["instance"]]
                quarantine.record_crash(request["parts"], self._worker(number))
                self._share(quarantine)
        self.incarnation[number] += 1

    def _share(self, quarantine: PartQuarantine) -> None:
        records = quarantine.pop_new_records()
        for other in self.instances:
            other.merge(records, new=True)


@pytest.mark.parametrize("seed", range(5))
def test_few_requests_with_a_crashing_part_reach_workers_while_sound_ones_begin(seed):
    fleet = Fleet(seed)
    for step in range(2_400):
        if step and step % 200 == 0:
            fleet.restart(step // 200 % fleet.INSTANCES)
        fleet.step(bad_per_s=2.0, sound_per_s=12.0)
        if step == 200:
            fleet.sound = {"sent": 0, "begun": 0}
    assert len(fleet.crashes_s) < 12
    if len(fleet.crashes_s) >= 5:
        bound_s = fleet.crashes_s[4] + 3.0
        assert sum(sent_s > bound_s for sent_s in fleet.sends_s) <= 3
    assert fleet.sound["begun"] >= 0.9 * fleet.sound["sent"]


REQUEST = whole_request(Fingerprint("f1"))


def admitted(quarantine, clock, seconds: float) -> list[float]:
    """Return when attempts that come twice a second may run, each with a crash."""
    times = []
    for number in range(int(2 * seconds)):
        clock.advance(0.5)
        now_s = clock.monotonic_s()
        if quarantine.blocked_part([REQUEST], f"a{now_s}") is None:
            times.append(now_s)
            quarantine.record_crash([REQUEST], worker(1_000 + int(2 * now_s)))
    return times


@pytest.mark.parametrize("at_once", [1, 6])
def test_a_request_that_crashes_workers_gets_three_more_trials(at_once):
    """All instances let it through at once, a minute after its last crash."""
    quarantine, clock = make()
    for number in range(3):
        crash(quarantine, clock, number, REQUEST)
    for number in range(3, 2 + at_once):
        quarantine.record_crash([REQUEST], worker(number))
    assert len(admitted(quarantine, clock, 7_200.0)) == MAX_RETRIES


def test_a_trial_of_a_request_is_granted_to_one_attempt_of_one_instance():
    quarantine, clock = make()
    other, _ = make(turn=False)
    for number in range(2):
        crash(quarantine, clock, number, REQUEST)
    clock.advance(FIRST_BLOCK_MS / 1_000.0)
    assert quarantine.blocked_part([REQUEST], "a1") is None
    assert quarantine.is_tried([REQUEST], "a1")
    assert quarantine.blocked_part([REQUEST], "a2") == REQUEST
    assert not quarantine.is_tried([REQUEST], "a2")
    other.merge(quarantine.records(), new=True)
    other._clock.advance(FIRST_BLOCK_MS / 1_000.0)
    assert other.blocked_part([REQUEST], "a3") == REQUEST


def test_a_sound_request_that_many_workers_ran_as_they_crashed_comes_back():
    """Guards against a block without end of a request that was only popular."""
    quarantine, clock = make()
    for number in range(12):
        quarantine.record_crash([REQUEST], worker(number))
    assert quarantine.blocked_part([REQUEST], "a1") == REQUEST
    clock.advance(FIRST_BLOCK_MS / 1_000.0)
    assert quarantine.blocked_part([REQUEST], "a2") is None
    written(quarantine, clock, REQUEST)
    assert quarantine.blocked_part([REQUEST], "a3") is None


def test_whole_requests_do_not_delay_the_block_of_a_part():
    """Guards against a trial of a part for each request that was sent twice."""
    quarantine, clock = make()
    for number in range(2):
        crash(quarantine, clock, number, "bad", REQUEST)
    other = whole_request(Fingerprint("f2"))
    assert quarantine.blocked_part(["bad", other], "a1") == "bad"


def test_a_request_that_does_not_come_again_is_forgotten():
    quarantine, clock = make()
    for number in range(3):
        crash(quarantine, clock, number, REQUEST)
    clock.advance(RECORD_EXPIRY_MS / 1_000.0 + 2.0)
    assert not quarantine.blocks()
    assert quarantine.digest == 0
