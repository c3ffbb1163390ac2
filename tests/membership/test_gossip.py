"""Tests of rumours: what is new, what a peer lacks, and what is not sent again."""

from acaciapier.core.clock import ManualClock
from acaciapier.membership import gossip_log
from acaciapier.membership.gossip_log import MAX_ADVERTISED, GossipLog, hash_message
from acaciapier.wire import Message
from membership.support import running_fleet, until


class StrikeNews(Message, frozen=True):
    number: int


def filled(clock, numbers):
    log = GossipLog(clock)
    for number in numbers:
        log.add(b"%d" % number)
    return log


def test_a_rumour_is_new_once_until_it_is_forgotten():
    clock = ManualClock()
    log = GossipLog(clock)
    assert log.add(b"x")
    clock.advance(gossip_log.ADVERTISE_S + 1)
    assert not log.add(b"x")
    assert log.advertised_hashes() == ()
    clock.advance(gossip_log.RETENTION_S)
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
    wanted = mine.unknown(theirs.advertised_hashes())
    assert set(theirs.find(wanted)) == {b"%d" % n for n in range(20, 25)}
    assert mine.missing_from(theirs.advertised_hashes()) == tuple(
        b"%d" % n for n in range(5)
    )


def test_many_rumours_heard_in_different_orders_are_not_sent_again():
    # More rumours than a comparison holds: the cut lists differ, nothing is lacking.
    clock = ManualClock()
    numbers = range(MAX_ADVERTISED + 200)
    mine, theirs = filled(clock, numbers), filled(clock, reversed(numbers))
    assert len(theirs.advertised_hashes()) == MAX_ADVERTISED
    assert mine.unknown(theirs.advertised_hashes()) == ()
    assert mine.missing_from(theirs.advertised_hashes()) == ()


def test_rumours_that_the_peer_no_longer_offers_are_not_sent_again():
    clock = ManualClock()
    theirs = filled(clock, range(3))
    clock.advance(2)
    mine = filled(clock, range(3))
    clock.advance(gossip_log.ADVERTISE_S - 1)
    assert theirs.advertised_hashes() == ()
    assert mine.advertised_hashes() != ()
    assert mine.missing_from(theirs.advertised_hashes()) == ()
    assert hash_message(b"1") in mine.advertised_hashes()


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
