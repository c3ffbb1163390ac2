"""Calls of silent stage workers stay open beside second calls."""

import pytest
import trio

from acaciapier.gateway.dispatch.stage_queue import StageQueue
from acaciapier.gateway.models import PieceFailure, PieceResult

from .stage_load import make_worker
from .support import deployment
from .test_stage_queue import SPEC, make_group, results


@pytest.fixture
def left():
    """Return a queue, its group, two workers and the call that the first one has."""
    queue, workers = StageQueue(SPEC), [make_worker("s", 1), make_worker("s", 2)]
    group = make_group("a")
    queue.add(group)
    call = queue.next_call(workers[0], workers, 0.0)
    queue.leave(call, 0.5)
    return queue, group, workers, call


def test_the_late_answer_of_a_silent_worker_is_used_if_it_comes_first(left):
    queue, group, workers, first = left
    second = queue.next_call(workers[1], workers, 0.5)
    assert second.size == 4
    assert queue.finish(first, results(first), 1.3) == [group]
    assert {one.handle for one in group.results.values()} == {
        one.handle for one in results(first)
    }
    assert queue.pop_unused() == []
    queue.finish(second, results(second), 1.4)
    assert queue.pop_unused() == [one.handle for one in results(second)]


def test_a_late_answer_that_comes_second_is_freed(left):
    queue, group, workers, first = left
    second = queue.next_call(workers[1], workers, 0.5)
    assert queue.finish(second, results(second), 0.7) == [group]
    queue.finish(first, results(first), 1.3)
    assert queue.pop_unused() == [one.handle for one in results(first)]
    assert group.results[0].handle == results(second)[0].handle


def test_a_late_answer_takes_its_pieces_out_of_the_queue(left):
    queue, group, workers, first = left
    assert queue.waiting_pieces == 4
    assert queue.finish(first, results(first), 1.3) == [group]
    assert queue.waiting_pieces == 0
    assert queue.next_call(workers[1], workers, 1.3) is None


@pytest.mark.parametrize("ends", ["fails", "has_no_result"])
def test_a_left_call_without_results_adds_no_piece_a_second_time(left, ends):
    queue, _, workers, first = left
    if ends == "fails":
        queue.fail(first)
    else:
        failed = [PieceResult(None, PieceFailure.OUT_OF_MEMORY)] * first.size
        queue.finish(first, failed, 1.3)
    assert queue.waiting_pieces == 4
    assert queue.next_call(workers[1], workers, 1.3).size == 4


def test_a_second_call_that_fails_after_the_late_answer_runs_nothing_again(left):
    queue, _, workers, first = left
    second = queue.next_call(workers[1], workers, 0.5)
    queue.finish(first, results(first), 1.3)
    queue.fail(second)
    assert queue.waiting_pieces == 0


def test_silent_workers_count_for_a_while_if_there_are_no_others(left):
    queue, _, workers, _ = left
    capacity = queue.capacity_per_ms(workers, 0.0)
    queue.health.exclude(workers[0].key, 0.5, min_ms=9_000.0)
    assert queue.capacity_per_ms(workers, 0.6) == capacity / 2
    assert queue.capacity_per_ms(workers[:1], 0.6) == capacity / 2
    assert queue.capacity_per_ms(workers[:1], 2.6) == 0
    queue.record_answer(workers[0])
    assert queue.capacity_per_ms(workers[:1], 0.6) == 0


async def test_a_request_whose_stage_workers_never_answer_is_refused_in_time():
    async with deployment() as world:
        for name in ("encode-1", "encode-2"):
            world.platform.workers[name].faults.mute = True
        headers = {"Chunk_Count": "1,1", "Chunk_Key": "k"}
        with trio.fail_after(2.0):
            answer = await world.caller().request(
                "POST", "/staged/1", b"{}", Attempt_Id="a1", **headers
            )
        assert answer.status == 503
