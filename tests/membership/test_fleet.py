"""Tests of fleets under crashes, freezes, partitions and delays, on a mock clock."""

from collections import Counter

import pytest
import trio

from acaciapier.membership import gossip as gossip_module
from acaciapier.membership import member_table
from acaciapier.membership import membership as membership_module
from acaciapier.wire.messages.membership import MemberState, MemberUpdates, TargetState
from membership.support import running_fleet, target, until

TWO_REGIONS = {"a1": ("r1", 4), "a2": ("r1", 3), "b1": ("r2", 4), "b2": ("r2", 3)}
SMALL = {"a1": ("r1", 3), "a2": ("r1", 3), "a3": ("r1", 3)}


async def test_killed_node_is_the_only_one_declared_dead(autojump_clock):
    async with running_fleet(TWO_REGIONS) as fleet:
        fleet.kill("a1-1")
        await until(lambda: fleet.all_agree_on(fleet.nodes), 15)
        await trio.sleep(20)
        assert fleet.all_agree_on(fleet.nodes)
        states = {m.instance: m.state for m in fleet.nodes["b1-0"].known_members()}
        assert states["a1-1"] is MemberState.DEAD


async def test_restarted_node_rejoins_quickly(autojump_clock):
    async with running_fleet(SMALL) as fleet:
        fleet.kill("a1-1")
        await until(lambda: fleet.all_agree_on(fleet.nodes), 15)
        await fleet.start("a1-1", "a1", "r1", incarnation=2, seeds=["a2-0"])
        await until(lambda: fleet.all_agree_on(fleet.nodes), 5)


async def test_leaving_node_is_removed_within_seconds(autojump_clock):
    async with running_fleet(SMALL) as fleet:
        await fleet.nodes["a1-1"].leave()
        fleet.kill("a1-1")
        await until(lambda: fleet.all_agree_on(fleet.nodes), 3)
        assert fleet.deaths() == 0


@pytest.mark.parametrize("seconds", [2, 30, 100])
async def test_frozen_node_does_not_suspect_its_peers(autojump_clock, seconds):
    async with running_fleet(SMALL) as fleet:
        frozen = fleet.nodes["a1-1"]
        fleet.freeze("a1-1")
        await trio.sleep(seconds)
        others = set(fleet.nodes) - {"a1-1"}
        if seconds >= 30:
            assert all("a1-1" not in fleet.running_members(name) for name in others)
        fleet.unfreeze("a1-1")
        await until(lambda: fleet.all_agree_on(fleet.nodes), 30)
        await trio.sleep(30)
        assert fleet.all_agree_on(fleet.nodes)
        assert frozen.member_tracker.counters.deaths == 0
        assert frozen.member_tracker.counters.suspicions == 0


async def test_slow_node_declares_no_peer_dead(autojump_clock):
    async with running_fleet(SMALL) as fleet:
        fleet.simulation.delays_s["a1-1"] = 1.5
        await trio.sleep(60)
        slow = fleet.nodes["a1-1"]
        assert slow.member_tracker.counters.deaths == 0
        others = set(fleet.nodes) - {"a1-1"}
        assert all(others <= fleet.running_members(name) for name in others)
        del fleet.simulation.delays_s["a1-1"]
        await until(lambda: fleet.all_agree_on(fleet.nodes), 30)


async def test_message_loss_causes_no_deaths(autojump_clock):
    async with running_fleet(SMALL, seed=5) as fleet:
        fleet.simulation.loss = 0.05
        await trio.sleep(120)
        assert fleet.deaths() == 0
        assert fleet.all_agree_on(fleet.nodes)


async def test_failed_rack_is_removed_and_others_stay(autojump_clock):
    async with running_fleet(TWO_REGIONS) as fleet:
        for name in ("a1-1", "a1-2", "a1-3"):
            fleet.kill(name)
        await until(lambda: fleet.all_agree_on(fleet.nodes), 40)


async def test_failed_data_centre_is_removed(autojump_clock):
    async with running_fleet(TWO_REGIONS) as fleet:
        for number in range(4):
            fleet.kill(f"a1-{number}")
        await until(lambda: fleet.all_agree_on(fleet.nodes), 60)


def partition_regions(fleet):
    def region(name):
        return name[0]

    fleet.simulation.is_cut = lambda a, b: region(a) != region(b)


async def test_regions_rejoin_after_a_partition_of_an_hour(autojump_clock, monkeypatch):
    # Longer loop periods speed up the simulated hour; expiry times are unchanged.
    monkeypatch.setattr(membership_module, "WAKE_UP_CHECK_PERIOD_S", 2.0)
    monkeypatch.setattr(membership_module, "PROBE_PERIOD_S", 5.0)
    monkeypatch.setattr(membership_module, "HEAL_PERIOD_S", 5.0)
    monkeypatch.setattr(gossip_module, "COMPARE_PERIOD_MS", 5_000.0)
    async with running_fleet({"a1": ("r1", 2), "b1": ("r2", 1)}) as fleet:
        partition_regions(fleet)
        await until(lambda: fleet.running_members("a1-0") == {"a1-0", "a1-1"}, 60)
        await trio.sleep(3_600)
        assert fleet.running_members("b1-0") == {"b1-0"}
        fleet.simulation.is_cut = lambda a, b: False
        await until(lambda: fleet.all_agree_on(fleet.nodes), 60)


async def test_regions_rejoin_when_tombstones_are_no_longer_synchronized(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr(member_table, "TOMBSTONE_SYNC_S", 30.0)
    async with running_fleet({"a1": ("r1", 2), "b1": ("r2", 2)}) as fleet:
        partition_regions(fleet)
        await trio.sleep(180)
        assert fleet.running_members("b1-0") == {"b1-0", "b1-1"}
        assert fleet.nodes["a1-0"].member_tracker.table.digests().keys() == {"a1"}
        fleet.simulation.is_cut = lambda a, b: False
        await until(lambda: fleet.all_agree_on(fleet.nodes), 60)


async def test_healing_causes_no_deaths_and_limited_traffic(autojump_clock):
    async with running_fleet(TWO_REGIONS) as fleet:
        partition_regions(fleet)
        await trio.sleep(60)
        region_members = {
            name: {n for n in fleet.nodes if n[0] == name[0]} for name in fleet.nodes
        }
        assert all(
            fleet.running_members(name) == region_members[name] for name in fleet.nodes
        )
        fleet.simulation.is_cut = lambda a, b: False
        fleet.simulation.traffic.clear()
        deaths = []
        for node in fleet.nodes.values():
            node.subscribe(
                lambda change: deaths.extend(
                    r for r in change.members if r.state is MemberState.DEAD
                )
            )
        duration_s = await until(lambda: fleet.all_agree_on(fleet.nodes), 60)
        assert deaths == []
        cross_region = sum(
            n for (a, b), n in fleet.simulation.traffic.items() if a[0] != b[0]
        )
        assert cross_region / len(fleet.nodes) / max(duration_s, 1) < 10


async def spread_leaving_state(fleet, within_s):
    for node in fleet.nodes.values():
        node._target_tracker.merge([target(f"t{n}") for n in range(50)])
    first = fleet.nodes["b1-0"]
    first.record_target_report("t7", 1, leaving=True)

    def known_everywhere():
        return all(
            node.targets.get("t7").state is TargetState.LEAVING
            for node in fleet.nodes.values()
        )

    return await until(known_everywhere, within_s)


async def test_leaving_target_is_known_everywhere_within_3_s(autojump_clock):
    async with running_fleet(TWO_REGIONS) as fleet:
        await spread_leaving_state(fleet, 3)
        for node in fleet.nodes.values():
            node._target_tracker.merge([target("t7")])
            assert "t7" not in [r.target_id for r in node.targets.usable("encoders")]
        fleet.nodes["a1-0"].record_target_report("t7", 2, leaving=False)
        restarted = target("t7", incarnation=2)
        await until(
            lambda: all(
                restarted in n.targets.usable("encoders") for n in fleet.nodes.values()
            ),
            3,
        )


async def test_leaving_bound_is_missed_without_gossip(autojump_clock, monkeypatch):
    monkeypatch.setattr(gossip_module.Gossip, "flush", lambda self: None)
    monkeypatch.setattr(gossip_module, "COMPARE_PERIOD_MS", 1e9)
    async with running_fleet({"b1": ("r2", 4)}) as fleet:
        with pytest.raises(AssertionError):
            await spread_leaving_state(fleet, 3)


async def test_configuration_numbers_are_known_everywhere(autojump_clock):
    async with running_fleet(TWO_REGIONS) as fleet:
        for number, node in enumerate(fleet.nodes.values()):
            node.set_status(configuration_number=100 + number)
        numbers = set(range(100, 100 + len(fleet.nodes)))
        await until(
            lambda: all(
                {m.configuration_number for m in node.members()} == numbers
                for node in fleet.nodes.values()
            ),
            30,
        )


async def test_concurrent_joins_gossip_each_record_once(autojump_clock):
    # Guards against gossip messages that differ by sender for records learnt by table
    # synchronization: their number would grow with the square of the fleet size.
    async with running_fleet(SMALL) as fleet:
        received = Counter()
        listener = fleet.nodes["a1-0"].gossip
        listener.on_new(MemberUpdates, lambda message: received.update(message.records))
        fleet.simulation.loss = 0.5
        for number in range(10):
            await fleet.start(f"b1-{number}", "b1", "r2", seeds=["a2-0", "a3-0"])
        fleet.simulation.loss = 0.0
        await until(lambda: fleet.all_agree_on(fleet.nodes), 60)
        await trio.sleep(15)
        assert len(received) > 5
        assert max(received.values()) == 1
