"""Guards against requests whose named numbers of pieces exhaust a dispatcher."""

import tracemalloc

import msgspec
import pytest

from acaciapier.gateway.dispatch.stage_capacity import MAX_REQUEST_PIECES, most_pieces
from acaciapier.gateway.dispatch.stage_order import MAX_CALL_INPUTS, fill_call
from acaciapier.gateway.models import MAX_HANDLE_BYTES, AttemptId, BatchSpec, Piece
from acaciapier.gateway.stage_times import StageTimes, longest_chain_ms
from acaciapier.platform.stages import decode_run
from acaciapier.wire.messages.explain import ExplainAdmission, ExplainStage
from acaciapier.wire.messages.gateway import EnterStages, RunPieces, WorkRefused

from .stage_load import StageCatalogue, make_route
from .support import deployment
from .test_stage_queue import SPEC, make_group

MANY = 300_000
RUN = RunPieces(
    service="encode",
    attempt="a1",
    stage=0,
    count=MANY,
    key="k",
    inputs=(),
    result_bytes=0,
    due_ms=1_000.0,
    latest_ms=1_000.0,
    expires_ms=2_000.0,
    priority=0,
    value=1.0,
    data_centre="",
)
ENTER = EnterStages(
    service="search",
    attempt="a1",
    stage=1,
    count=MANY,
    due_ms=1_000.0,
    expires_ms=2_000.0,
    average_ms=100.0,
    priority=0,
    route_priority=0,
    fingerprint="",
)


async def ask(dispatcher, message):
    """Return the answer to a message and the peak of the memory that it took."""
    handler = {
        RunPieces: dispatcher.run_pieces,
        EnterStages: dispatcher.enter_stages,
        ExplainStage: dispatcher.explain,
        ExplainAdmission: dispatcher.explain,
    }[type(message)]
    tracemalloc.start()
    try:
        return await handler("edge-9", message), tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    "message", [RUN, ENTER, ExplainStage(RUN, 4), ExplainAdmission(ENTER)]
)
async def test_a_dispatcher_plans_no_more_pieces_than_its_workers_can_make(message):
    # Instances of earlier builds pass on any number that a caller names.
    async with deployment() as world:
        dispatcher = world.gateways[0].dispatcher
        answer, peak_bytes = await ask(dispatcher, message)
        assert answer.cause == "too_many_pieces"
        assert answer.retry_after_ms == 1_000.0
        assert peak_bytes < 1_000_000
        counts = dispatcher.stages.reserved_counts()
        assert counts["waiting_pieces"] == counts["admitted_pieces"] == 0


@pytest.mark.parametrize(
    "counts", [f"{MANY},1", f"1,{MANY}", f"{10**15 - 1},1", f"0,{MANY}"]
)
@pytest.mark.parametrize("front", [0, 1])
async def test_a_request_with_too_many_pieces_is_refused_where_it_arrives(
    counts, front
):
    # Dispatchers of earlier builds would plan all pieces, one after the other.
    async with deployment(gateways=2) as world:
        gateway = world.gateways[front]
        asked = []

        async def call(message):
            asked.append(message)
            raise AssertionError("a dispatcher was asked")

        gateway.dispatch_client.run_pieces = call
        gateway.dispatch_client.enter_stages = call
        headers = {"Chunk_Count": counts, "Chunk_Key": "k"}
        answer = await world.caller(front).request(
            "POST", "/staged/1", b"{}", Attempt_Id="a1", Deadline_Ms="2000", **headers
        )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not asked


@pytest.mark.parametrize("counts", ["40,40", "40,1", "1,40", "0,0"])
async def test_counts_of_sound_callers_are_served(counts):
    async with deployment(gateways=2) as world:
        headers = {"Chunk_Count": counts, "Chunk_Key": "k"}
        answer = await world.caller().request(
            "POST", "/staged/1", b"{}", Attempt_Id="a1", Deadline_Ms="9000", **headers
        )
        assert answer.status == 200
        assert answer.complete


def test_a_count_that_fits_into_one_round_of_calls_is_never_too_large():
    assert most_pieces(SPEC, 3, within_ms=-5.0) == 3 * SPEC.max_pieces
    assert most_pieces(SPEC, 0, within_ms=1.0) == SPEC.max_pieces


def test_no_deadline_allows_more_pieces_than_fit_into_a_message():
    assert most_pieces(SPEC, 1_000, within_ms=1e15) == MAX_REQUEST_PIECES


def test_a_call_carries_a_bounded_number_of_inputs():
    # Each piece of a call names the handles of all its inputs.
    group = make_group("a", count=40)
    inputs = tuple(map(str, range(MAX_REQUEST_PIECES)))
    group.pieces = [Piece(AttemptId("a"), 1, n, "", inputs) for n in range(40)]
    [(_, numbers)] = fill_call([group], 40, 1e9)
    assert 1 <= len(numbers) <= MAX_CALL_INPUTS // MAX_REQUEST_PIECES


def test_a_handle_that_is_too_long_is_no_result():
    handles = ["h" * MAX_HANDLE_BYTES, "h" * (MAX_HANDLE_BYTES + 1)]
    body = msgspec.json.encode({"items": [{"handle": one} for one in handles]})
    assert [one.handle for one in decode_run(body, 2)] == [handles[0], None]


def test_the_time_of_a_route_takes_little_work_whatever_its_stages():
    # Each path through the stages was followed, 2 ** 16 for 17 stages.
    asked = []

    def stage_ms(service) -> float:
        asked.append(service)
        return 10.0

    stages = [(f"s{number}", tuple(range(number)), 1) for number in range(17)]
    route = make_route("long", 0, 1_000, 5_000, stages)
    counts = (1,) * len(stages)
    assert longest_chain_ms(route, counts, 0, stage_ms) == 160.0
    assert len(asked) <= len(stages) ** 2
    specs = {name: BatchSpec(8, 10.0, 0.0, 1e6, 4_000.0) for name, _, _ in stages}
    assert StageTimes(StageCatalogue(specs)).chain_ms(route, counts, 16) == 170.0
    assert (
        StageTimes(StageCatalogue(specs)).chain_ms(route, (1, *[0] * 15, 1), 16) == 20.0
    )


async def test_excluded_workers_let_no_more_wait_than_they_can_make():
    async with deployment() as world:
        stages = world.gateways[0].dispatcher.stages
        now_s = world.gateways[0].clock.monotonic_s()
        scheduler = stages._scheduler("encode")
        for worker in scheduler._workers():
            scheduler.queue.health.exclude(worker.key, now_s, min_ms=300.0)
        run = msgspec.structs.replace(RUN, count=8, expires_ms=10_000.0)
        group = stages._make_group("edge-9", run, now_s)
        assert scheduler.may_wait(group)
        while scheduler.queue.waiting_pieces < MAX_REQUEST_PIECES:
            scheduler.queue.add(stages._make_group("edge-9", run, now_s))
        assert not scheduler.may_wait(group)
        assert isinstance(await stages.run_pieces("edge-9", run), WorkRefused)
