"""Workers that name how many requests a second they take from all instances."""

import pytest
import trio

from acaciapier.gateway.worker_limits import MAX_LIMITS, WorkerLimits
from acaciapier.http.client import ResponseHead
from acaciapier.platform.requests import decode_response_metadata

from .support import deployment
from .test_instance_state import worker
from .test_worker_notices import answer

KEY = "w1/1"
WINDOW_S = 4.0
SETTLE_S = 1.0


def most_in_window(times_s: list[float], from_s: float) -> int:
    """Return how many of the times after `from_s` lie in some window."""
    counted = [time_s for time_s in times_s if time_s >= from_s]
    return max(
        (
            sum(start_s <= time_s < start_s + WINDOW_S for time_s in counted)
            for start_s in counted
        ),
        default=0,
    )


def allowed(limit_per_s: float) -> float:
    """Return the requests in a window that the users' rule on limits allows."""
    return 1.5 * limit_per_s * WINDOW_S + 5


@pytest.mark.parametrize("value", ["1.2", "0", "12", "1000000000", "0.05"])
def test_a_limit_is_a_decimal_number(value):
    decoded = answer(server_limit=value)
    assert (decoded.limit_per_s, decoded.malformed_limits) == (float(value), ())
    assert answer(503, server_limit=value, not_run="1").limit_per_s == float(value)


@pytest.mark.parametrize(
    "value", ["", "-1", "nan", "inf", "1e9", "1_0", "1,2", "two", "1.", "9" * 400]
)
def test_a_malformed_limit_changes_nothing_and_is_logged(value):
    events = []
    limits = WorkerLimits(lambda kind, **fields: events.append((kind, fields)))
    limits.observe(worker("w1"), answer(server_limit="2"), 1.0)
    limits.observe(worker("w1"), answer(server_limit=value), 3.0, 2.0)
    assert limits.find(KEY).per_s == 2
    assert events[1:] == [("worker_limit_ignored", {"worker": "w1", "value": value})]


def test_the_lowest_of_repeated_limits_counts():
    headers = [(b"Server-Limit", b"3"), (b"server-limit", b"5"), (b"x", b"1")]
    values = {name.lower(): value for name, value in headers}
    decoded = decode_response_metadata(ResponseHead(200, headers, values))
    assert decoded.limit_per_s == 3


def named(limits: WorkerLimits) -> float | None:
    known = limits.find(KEY)
    return None if known is None else known.per_s


def test_an_answer_to_a_later_request_raises_or_ends_a_limit():
    limits = WorkerLimits()
    limits.observe(worker("w1"), answer(server_limit="2"), 1.0, 0.5)
    limits.observe(worker("w1"), answer(server_limit="4"), 2.0, 1.5)
    assert named(limits) == 4
    limits.observe(worker("w1"), answer(), 3.0, 2.5)
    assert named(limits) is None


def test_an_answer_that_began_before_a_limit_was_named_does_not_raise_or_end_it():
    limits = WorkerLimits()
    limits.observe(worker("w1"), answer(server_limit="2"), 1.0, 0.5)
    limits.observe(worker("w1"), answer(server_limit="4"), 2.0, 0.9)
    limits.observe(worker("w1"), answer(), 3.0, 1.9)
    assert named(limits) == 2
    limits.observe(worker("w1"), answer(server_limit="1"), 4.0, 0.1)
    assert named(limits) == 1


def test_an_answer_that_is_not_the_workers_own_ends_no_limit():
    limits = WorkerLimits()
    limits.observe(worker("w1"), answer(server_limit="2"), 1.0)
    limits.observe(worker("w1"), answer(503, not_run="1"), 9.0)
    assert named(limits) == 2


def test_the_next_incarnation_of_a_worker_starts_without_a_limit():
    limits = WorkerLimits()
    limits.observe(worker("w1"), answer(server_limit="2"), 1.0)
    assert limits.find(worker("w1", started_ms=2).key) is None


def test_the_number_of_remembered_limits_is_bounded():
    limits = WorkerLimits()
    for number in range(MAX_LIMITS + 5):
        limits.observe(worker(f"v{number}"), answer(server_limit="2"), 1.0)
    keys = [f"v{number}/1" for number in range(MAX_LIMITS + 5)]
    assert len(limits.in_force(keys)) == MAX_LIMITS


async def load(world, method: str, path: str, seconds: float, callers: int) -> list:
    """Send requests to all gateways at once and return the answers.

    A ``{}`` in `path` stands for a name that differs between requests.
    """
    answers = []

    async def call(number: int) -> None:
        caller = world.caller(number % len(world.gateways))
        while True:
            serial = len(answers)
            reply = await caller.request(
                method,
                path.format(f"{number}-{serial}"),
                b"{}",
                Attempt_Id=f"c{number}-{serial}-{trio.current_time()}",
                Chunk_Count="1,1",
                Chunk_Key="k",
            )
            answers.append(reply)
            if reply.headers.get("connection") == "close" or not reply.complete:
                await caller.aclose()
                caller = world.caller(number % len(world.gateways))
            await trio.sleep(0.03)

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for number in range(callers):
                nursery.start_soon(call, number)
    return answers


@pytest.mark.parametrize(
    "name, method, path",
    [
        ("book-1", "GET", "/lookup/1"),
        ("book-1", "POST", "/confirm/1"),
        ("model-1", "POST", "/mail/1"),
        ("encode-1", "POST", "/staged/1"),
    ],
)
async def test_a_worker_gets_no_more_than_the_limit_that_it_named_from_all_instances(
    name, method, path
):
    async with deployment(gateways=3) as world:
        needy = world.platform.workers[name]
        needy.faults.limit = "2"
        start_s = trio.current_time()
        answers = await load(world, method, path, SETTLE_S + WINDOW_S + 1.0, 6)
        seen = most_in_window(needy.arrivals_s, start_s + SETTLE_S)
        assert needy.arrivals_s
        assert seen <= allowed(2)
        served = sum(reply.status == 200 for reply in answers)
        assert served >= 0.95 * len(answers)
