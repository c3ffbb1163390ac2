"""Tests of gossip: detection of duplicates and exchange of missing messages."""

from acaciapier.core.clock import ManualClock
from acaciapier.membership import gossip_log
from acaciapier.membership.gossip_log import (
    MAX_ADVERTISED_HASHES,
    GossipLog,
    hash_message,
)
from acaciapier.wire import Message
from membership.support import running_fleet, until


class CrashNotice(Message, frozen=True):
    number: int


def make_log(clock, numbers):
    log = GossipLog(clock)
    for number in numbers:
        log.add(b"%d" % number)
    return log


def test_message_is_a_duplicate_until_it_is_evicted():
    clock = ManualClock()
    log = GossipLog(clock)
    assert log.add(b"x")
    clock.advance(gossip_log.ADVERTISE_S + 1)
    assert not log.add(b"x")
    assert log.advertised_hashes() == ()
    clock.advance(gossip_log.RETENTION_S)
    log.add(b"y")
    assert log.add(b"x")


def test_checksum_does_not_depend_on_order():
    clock = ManualClock()
    first, second = make_log(clock, range(50)), make_log(clock, reversed(range(50)))
    assert first.checksum() == second.checksum() != 0
    assert make_log(clock, range(49)).checksum() != first.checksum()


def test_missing_messages_are_found_in_both_directions():
    clock = ManualClock()
    mine, theirs = make_log(clock, range(0, 20)), make_log(clock, range(5, 25))
    wanted = mine.unknown(theirs.advertised_hashes())
    assert set(theirs.find(wanted)) == {b"%d" % n for n in range(20, 25)}
    assert mine.missing_from(theirs.advertised_hashes()) == tuple(
        b"%d" % n for n in range(5)
    )


def test_truncated_hash_lists_cause_no_resending():
    # With more messages than are advertised, logs in different order advertise
    # different hashes although neither lacks a message.
    clock = ManualClock()
    numbers = range(MAX_ADVERTISED_HASHES + 200)
    mine, theirs = make_log(clock, numbers), make_log(clock, reversed(numbers))
    assert len(theirs.advertised_hashes()) == MAX_ADVERTISED_HASHES
    assert mine.unknown(theirs.advertised_hashes()) == ()
    assert mine.missing_from(theirs.advertised_hashes()) == ()


def test_messages_that_the_peer_no_longer_advertises_are_not_resent():
    clock = ManualClock()
    theirs = make_log(clock, range(3))
    clock.advance(2)
    mine = make_log(clock, range(3))
    clock.advance(gossip_log.ADVERTISE_S - 1)
    assert theirs.advertised_hashes() == ()
    assert mine.advertised_hashes() != ()
    assert mine.missing_from(theirs.advertised_hashes()) == ()
    assert hash_message(b"1") in mine.advertised_hashes()


async def test_each_handler_receives_each_message_once(autojump_clock):
    async with running_fleet({"a1": ("r1", 4), "b1": ("r2", 4)}) as fleet:
        received = {name: [] for name in fleet.nodes}
        for name, node in fleet.nodes.items():
            node.gossip.on_new(CrashNotice, received[name].append)
        for number in range(200):
            fleet.nodes["a1-0"].gossip.publish(CrashNotice(number))
        others = set(received) - {"a1-0"}
        await until(lambda: all(len(received[name]) >= 200 for name in others), 10)
        assert all(len(set(received[n])) == len(received[n]) == 200 for n in others)
        assert received["a1-0"] == []
