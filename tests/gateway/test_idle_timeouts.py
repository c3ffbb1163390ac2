"""Idle timeouts of callers' connections when a change lowers or raises them."""

import random

import msgspec
import pytest

from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.idle_timeouts import KNOWN_WITHIN_S, IdleTimeouts
from acaciapier.gateway.models import StorePosition
from acaciapier.platform.configuration import decode_configuration
from acaciapier_standins.platform.platform import configuration


class ManualClock:
    """Clock that a test sets."""

    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s


def test_a_lowered_timeout_applies_once_no_caller_relies_on_the_former_one():
    clock = ManualClock()
    timeouts = IdleTimeouts(clock)
    timeouts.replaced(15_000.0)
    clock.now_s += KNOWN_WITHIN_S + 14.9
    assert timeouts.longest_ms(400.0) == 15_000.0
    clock.now_s += 0.2
    assert timeouts.longest_ms(400.0) == 400.0


def test_a_raised_timeout_applies_at_once():
    timeouts = IdleTimeouts(ManualClock())
    timeouts.replaced(400.0)
    assert timeouts.longest_ms(15_000.0) == 15_000.0


@pytest.mark.parametrize("seed", range(20))
def test_every_timeout_of_a_series_applies_for_its_time(seed):
    choices, clock = random.Random(seed), ManualClock()
    timeouts = IdleTimeouts(clock)
    in_force_ms, former = 5_000.0, []
    for _ in range(300):
        clock.now_s += choices.choice([0.01, 0.5, 4.0])
        timeouts.replaced(in_force_ms)
        former.append((clock.now_s, in_force_ms))
        in_force_ms = choices.choice([1.0, 50.0, 400.0, 5_000.0, 15_000.0, 60_000.0])
        clock.now_s += choices.choice([0.0, 0.2, 6.0])
        expected_ms = max(
            timeout_ms
            for replaced_s, timeout_ms in [*former, (clock.now_s, in_force_ms)]
            if clock.now_s <= replaced_s + KNOWN_WITHIN_S + timeout_ms / 1_000.0
        )
        assert timeouts.longest_ms(in_force_ms) == expected_ms


def test_few_timeouts_are_kept_while_they_rise_and_fall():
    clock = ManualClock()
    timeouts = IdleTimeouts(clock)
    for number in range(10_000):
        timeouts.replaced(float(number % 100))
    assert len(timeouts._former) <= 100


def test_a_timeout_of_a_version_that_comes_late_applies_for_its_time():
    catalogue = Catalogue(ManualClock(), decode_configuration)
    for version, timeout_ms in ((1, 400), (3, 400), (2, 5_000)):
        made = configuration(version, [], [])
        made["limits"]["idle_timeout_ms"] = timeout_ms
        source = msgspec.json.encode(made)
        catalogue.update_configuration(StorePosition(1, version), source, "store")
    assert catalogue.version == 3
    assert catalogue.idle_timeouts.longest_ms(400.0) == 5_000.0
