"""Tests of rumours: what is new, what a peer lacks, and what is not sent again."""

from acaciapier.core.clock import ManualClock
from acaciapier.membership import rumour_log
from acaciapier.membership.rumour_log import MAX_OFFERED, RumourLog, hash_rumour
from acaciapier.wire import Message
from membership.support import running_fleet, until


class StrikeNews(Message, frozen=True):
    number: int


def filled(clock, numbers):
    log = RumourLog(clock)
    for number in numbers:
        log.add(b"%d" % number)
    return log


def test_a_rumour_is_new_once_until_it_is_forgotten():
    clock = ManualClock()
    log = RumourLog(clock)
    assert log.add(b"x")
    clock.advance(rumour_log.OFFER_S + 1)
    assert not log.add(b"x")
    assert log.offered() == ()
    clock.advance(rumour_log.REMEMBER_S)
    log.add(b"y")
    assert log.add(b"x")


def test_equal_logs_have_equal_checksums_in_any_order():
    clock = ManualClock()
    first, second = filled(clock, range(50)), filled(clock, reversed(range(50)))
    assert first.checksum() == second.checksum() != 0
    assert filled(clock, range(49)).checksum() != first.checksum()


def test_what_one_lacks_is_found_on_both_sides():
    clock = ManualClock()
    mine, theirs = filled(clock, range(0, 20)), filled(clock, range(5, 25))
    wanted = mine.unknown(theirs.offered())
    assert set(theirs.find(wanted)) == {b"%d" % n for n in range(20, 25)}
    assert mine.missing_from(theirs.offered()) == tuple(b"%d" % n for n in range(5))


def test_many_rumours_heard_in_different_orders_are_not_sent_again():
    # More rumours than a comparison holds: the cut lists differ, nothing is lacking.
    clock = ManualClock()
    numbers = range(MAX_OFFERED + 200)
    mine, theirs = filled(clock, numbers), filled(clock, reversed(numbers))
    assert len(theirs.offered()) == MAX_OFFERED
    assert mine.unknown(theirs.offered()) == ()
    assert mine.missing_from(theirs.offered()) == ()


def test_rumours_that_the_peer_no_longer_offers_are_not_sent_again():
    clock = ManualClock()
    theirs = filled(clock, range(3))
    clock.advance(2)
    mine = filled(clock, range(3))
    clock.advance(rumour_log.OFFER_S - 1)
    assert theirs.offered() == ()
    assert mine.offered() != ()
    assert mine.missing_from(theirs.offered()) == ()
    assert hash_rumour(b"1") in mine.offered()


async def test_each_handler_hears_each_rumour_once(autojump_clock):
    async with running_fleet({"a1": ("r1", 4), "b1": ("r2", 4)}) as fleet:
        heard = {name: [] for name in fleet.nodes}
        for name, node in fleet.nodes.items():
            node.rumours.on_new(StrikeNews, heard[name].append)
        for number in range(200):
            fleet.nodes["a1-0"].rumours.publish(StrikeNews(number))
        others = set(heard) - {"a1-0"}
        await until(lambda: all(len(heard[name]) >= 200 for name in others), 10)
        assert all(len(set(heard[n])) == len(heard[n]) == 200 for n in others)
        assert heard["a1-0"] == []
