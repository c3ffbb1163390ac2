"""Tests of the configuration log on a store with injected faults."""

from dataclasses import replace
from random import Random

import pytest

from acaciapier.configuration import (
    Accepted,
    ConfigurationLog,
    Conflict,
    Delete,
    History,
    LogLimits,
    ObjectKey,
    Patch,
    Rejected,
    Replace,
    RequestedChange,
    RequestedEdit,
    Unavailable,
)
from acaciapier.core.clock import ManualClock
from configuration.fakes import Crash, FakeStore, Fault, pool_value

SMALL = LogLimits(
    block_changes=3, snapshot_changes=6, kept_changes=1, part_bytes=400, kept_patches=8
)
A = ObjectKey("pool", "a")


def log_on(store, seed=0, limits=SMALL):
    return ConfigurationLog(store, ManualClock(), Random(seed), limits)


def request(patch_id, *edits, at_least_number=0):
    return RequestedChange(patch_id, "op", tuple(edits), at_least_number)


def put(version, limit=32, key=A):
    return RequestedEdit(key, version, Replace(pool_value(key.name, limit)))


def patch(version, *operations, key=A):
    return RequestedEdit(key, version, Patch(list(operations)))


async def submit_many(log, count):
    for number in range(count):
        answer = await log.submit(request(f"p{number}", put(number, number + 1)))
        assert answer.ok_value.number == number + 1


async def test_a_change_of_an_old_version_conflicts_and_shows_the_current_one():
    log = log_on(FakeStore())
    await submit_many(log, 2)
    answer = await log.submit(request("late", put(1)))
    assert isinstance(answer.err_value, Conflict)
    assert answer.err_value.mismatches[0].present_version == 2


async def test_versions_continue_after_a_deletion():
    log = log_on(FakeStore())
    await submit_many(log, 1)
    await log.submit(request("gone", RequestedEdit(A, 1, Delete())))
    answer = await log.submit(request("again", put(0)))
    assert answer.ok_value.versions == ((A, 3),)


async def test_an_invalid_change_gets_all_findings_and_changes_nothing():
    log = log_on(FakeStore())
    await submit_many(log, 1)
    stage = {"name": "s", "kind": "rerank", "pool": "a"}
    pipeline = {"kind": "pipeline", "name": "p", "stages": [stage]}
    answer = await log.submit(
        request("bad", RequestedEdit(ObjectKey("pipeline", "p"), 0, Replace(pipeline)))
    )
    places = [finding.place for finding in answer.err_value.findings]
    assert places == ["pipeline/p.stages[0].pool"]
    copies = [{"op": "copy", "from": "", "path": f"/x{n}"} for n in range(60)]
    for operations in (
        [{"op": "replace", "path": "/max_outstanding", "value": -1}],
        [{"op": "replace", "path": "/name", "value": "b"}],
        [{"op": "remove", "path": "/nothing"}],
        [{"op": "test", "path": "/name", "value": "b"}],
        [{"op": "nothing"}],
        ["text"],
        [{"op": "replace", "path": "", "value": 3}],
        copies,
    ):
        answer = await log.submit(request("bad", patch(1, *operations)))
        assert isinstance(answer.err_value, Rejected), operations
    assert log.state.number == 1


async def test_a_pool_in_use_can_only_be_deleted_together_with_its_pipeline():
    log = log_on(FakeStore())
    stage = {"name": "s", "kind": "encode", "pool": "a"}
    pipeline = {"kind": "pipeline", "name": "p", "stages": [stage]}
    key = ObjectKey("pipeline", "p")
    both = request("both", put(0), RequestedEdit(key, 0, Replace(pipeline)))
    assert (await log.submit(both)).ok_value.number == 1
    answer = await log.submit(request("del", RequestedEdit(A, 1, Delete())))
    assert isinstance(answer.err_value, Rejected)
    gone = request(
        "del2", RequestedEdit(A, 1, Delete()), RequestedEdit(key, 1, Delete())
    )
    assert (await log.submit(gone)).ok_value.number == 2


@pytest.mark.parametrize("fault", [Fault.LOST_BEFORE, Fault.LOST_AFTER])
async def test_the_outcome_of_a_write_without_an_answer_is_read_back(
    fault, autojump_clock
):
    store = FakeStore()
    log = log_on(store)
    await submit_many(log, 1)
    store.faults.append(fault)
    answer = await log.submit(request("x", put(1, 5)))
    assert answer.ok_value.number == 2
    assert log.state.pool("a").max_outstanding == 5


async def test_a_resend_to_another_instance_gets_the_same_answer(autojump_clock):
    store = FakeStore()
    first, second = log_on(store), log_on(store, 1)
    await submit_many(first, 7)
    again = await second.submit(request("p4", put(4, 5)))
    assert again.ok_value == Accepted(5, ((A, 5),), resent=True)
    other = await second.submit(request("p4", put(4, 6)))
    assert isinstance(other.err_value, Rejected)


async def test_an_outage_is_answered_as_unavailable(autojump_clock):
    store = FakeStore()
    log = log_on(store)
    await submit_many(log, 1)
    store.is_down = True
    answer = await log.submit(request("x", put(1)))
    assert isinstance(answer.err_value, Unavailable)
    store.is_down = False
    assert (await log.submit(request("x", put(1)))).ok_value.number == 2


async def test_a_stale_read_cannot_refuse_a_change_of_a_newer_state(autojump_clock):
    store = FakeStore()
    await submit_many(log_on(store), 4)
    store.faults.extend([Fault.STALE])
    other = log_on(store, 1)
    answer = await other.submit(request("x", put(4), at_least_number=4))
    assert answer.ok_value.number == 5


async def test_a_new_instance_reads_snapshot_blocks_and_head():
    store = FakeStore()
    log = log_on(store)
    await submit_many(log, 40)
    for index in range(6):
        key = ObjectKey("pool", f"b{index}")
        await log.submit(request(f"b{index}", put(0, key=key)))
    assert len(log.head.recent) <= SMALL.block_changes + SMALL.kept_changes
    assert len(log.head.snapshot.names) > 1
    reader = log_on(store, 1)
    await reader.refresh()
    assert reader.state.objects == log.state.objects
    kept = [name for _, name in store.objects if name.startswith("snapshot.")]
    assert sorted(kept) == sorted(log.head.snapshot.names)


@pytest.mark.parametrize("fault", [Fault.CRASH_BEFORE, Fault.CRASH_AFTER])
@pytest.mark.parametrize("calls_before", range(6))
async def test_a_crash_at_any_call_of_a_trim_loses_nothing(calls_before, fault):
    store = FakeStore()
    log = log_on(store)
    await submit_many(log, 6)
    store.faults.extend([Fault.NONE] * calls_before + [fault])
    try:
        await log.submit(request("x", put(6, 7)))
    except Crash:
        pass
    store.faults.clear()
    other = log_on(store, 1)
    answer = await other.submit(request("x", put(6, 7)))
    assert answer.ok_value.number == 7
    assert [change.number for change in await History(other).changes(None, 99)] == [
        7, 6, 5, 4, 3, 2, 1,
    ]  # fmt: skip


async def test_history_blocks_past_their_retention_are_deleted():
    store = FakeStore()
    limits = replace(SMALL, kept_blocks=2)
    log = log_on(store, limits=limits)
    await submit_many(log, 60)
    blocks = [name for _, name in store.objects if name.startswith("block.")]
    assert sorted(blocks) == [f"block.{n:012d}" for n in await log.block_starts()]
    assert len(blocks) <= 2 + SMALL.snapshot_changes // SMALL.block_changes
    changes = await History(log).changes(None, 99)
    assert 6 <= len(changes) < 60


async def test_history_and_undo_reach_back_through_blocks():
    log = log_on(FakeStore())
    await submit_many(log, 20)
    history = History(log)
    versions = await history.versions(A, 5, before=4)
    assert [version.edit.new_version for version in versions] == [3, 2, 1]
    assert (await history.version(A, 2)).edit.value["max_outstanding"] == 2
    undo = (await history.undo_request(20, "undo", "op")).ok_value
    assert (await log.submit(undo)).ok_value.number == 21
    assert log.state.pool("a").max_outstanding == 19
    late = (await history.undo_request(5, "undo-5", "op")).ok_value
    assert isinstance((await log.submit(late)).err_value, Conflict)
    assert (await history.undo_request(99, "u", "op")).is_err()
