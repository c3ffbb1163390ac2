"""Decisions on callers' input that is over the limits of the process."""

import os
import socket
from functools import partial

import h11
import pytest
import trio

from acaciapier.gateway.connection_bound import (
    ClosingOrder,
    ConnectionBound,
    longest_waiting,
)
from acaciapier.gateway.input_memory import STALLED_S, CallerInput, InputMemory
from acaciapier.http.caller_input import (
    ConnectionLimits,
    RejectedInput,
    RequestReader,
)
from acaciapier_standins.platform.platform import HOST

from .support import deployment
from .test_response_memory import ManualClock

MB = 1_000_000
LIMITS = ConnectionLimits(16_384, 100_000, 3.0, 15.0)
CHUNKED = (
    b"POST /confirm/1 HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: c%d\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class Inputs:
    """Input of several connections, by name."""

    def __init__(self):
        self.clock = ManualClock()
        self.memory = InputMemory(120, self.clock)
        self.gave_way = []
        self._accounts = {}

    def account(self, name: str):
        if name not in self._accounts:
            give_way = self.memory.account(lambda: self.gave_way.append(name))
            self._accounts[name] = give_way
        return self._accounts[name]

    def hold(self, name: str, megabytes: float) -> bool:
        return self.account(name).hold(int(megabytes * MB))


@pytest.fixture
def inputs() -> Inputs:
    return Inputs()


def test_the_largest_unfinished_body_gives_way(inputs):
    assert all(inputs.hold(name, size) for name, size in zip("abc", (4, 8, 6)))
    assert inputs.hold("d", 3)
    assert inputs.gave_way == ["b"]
    assert inputs.memory.used_bytes == 13 * MB


def test_a_body_without_progress_gives_way_before_larger_ones(inputs):
    inputs.hold("stalled", 2)
    inputs.clock.now_s += STALLED_S
    assert inputs.hold("a", 9) and inputs.hold("b", 10)
    assert inputs.gave_way == ["stalled"]


def test_a_request_that_a_handler_has_never_gives_way(inputs):
    for name in "abcd":
        inputs.account(name).complete(5 * MB)
    assert not inputs.hold("large", 3)
    assert inputs.hold("small", 0.01)
    assert not inputs.gave_way
    for name in ("small", *"abcd"):
        inputs.account(name).release()
    assert inputs.memory.used_bytes == 0


def test_one_request_of_any_size_is_read_beside_little_else(inputs):
    assert inputs.hold("little", 1) and inputs.hold("single", 50)
    assert not inputs.gave_way


def test_connections_are_bounded_by_what_other_descriptors_leave():
    clock, counted = ManualClock(), [100]
    bound = ConnectionBound(100, clock, lambda: counted[0])
    assert not bound.is_over(25)
    assert bound.is_over(60)
    clock.now_s += 1.0
    counted[0] = 70
    assert not bound.is_over(60)


def test_connections_are_too_many_if_no_descriptor_is_left_to_count_them():
    bound = ConnectionBound(100, ManualClock(), partial(os.listdir, "/proc/self/none"))
    assert bound.is_over(60)


def test_the_longest_idle_connection_closes_before_one_with_a_request_begun():
    class Connection:
        def __init__(self, idle, since_s):
            self.idle, self.waiting_since_s = idle, since_s

    begun, early, late = Connection(False, 0), Connection(True, 1), Connection(True, 2)
    busy = Connection(False, None)
    assert longest_waiting([late, begun, busy, early]) is early
    assert longest_waiting([begun, busy]) is begun
    assert longest_waiting([busy]) is None


def test_a_crowd_of_small_input_takes_little_time_to_choose_what_gives_way(
    inputs, monkeypatch
):
    # All unfinished input was compared for each part that arrived over the limit.
    ranked = 0
    rank = CallerInput.rank

    def count(one, now_s):
        nonlocal ranked
        ranked += 1
        return rank(one, now_s)

    monkeypatch.setattr(CallerInput, "rank", count)
    for number in range(4_000):
        inputs.clock.now_s += 0.001
        inputs.hold(f"c{number}", 0.02)
    assert len(inputs.gave_way) > 1_000
    assert ranked < 400_000


class Waiting:
    """A connection that counts how often it is compared."""

    compared = 0

    def __init__(self, since_s: float, idle: bool = False):
        self.since_s, self.idle = since_s, idle

    @property
    def waiting_since_s(self) -> float:
        Waiting.compared += 1
        return self.since_s


def test_a_crowd_that_connects_takes_little_time_to_choose_what_closes():
    # All 3,700 connections were compared for each of 300 new ones a second, which
    # left no time for other callers.
    clock = ManualClock()
    connections = {Waiting(0.001 * number) for number in range(3_700)}
    order = ClosingOrder(clock)
    Waiting.compared = 0
    for number in range(300):
        clock.now_s += 1 / 300
        connections.add(Waiting(clock.now_s + 100.0))
        connections.discard(order.next(connections))
    assert Waiting.compared < 30 * 3_700
    assert min(one.since_s for one in connections) == pytest.approx(0.3)


def test_a_connection_that_has_gone_on_or_ended_does_not_close_in_its_turn():
    clock = ManualClock()
    gone_on, ended, first, last = (Waiting(float(number)) for number in range(4))
    busy = Waiting(None)
    connections = {gone_on, ended, first, last, busy}
    order = ClosingOrder(clock)
    connections.add(oldest := Waiting(-1.0))
    assert order.next(connections) is oldest
    connections -= {oldest, ended}
    gone_on.since_s = 9.0
    assert order.next(connections) is first
    connections -= {first}
    assert order.next(connections) is last
    connections -= {last}
    assert order.next(connections) is gone_on
    connections -= {gone_on}
    assert order.next(connections) is None


async def test_a_body_of_very_small_chunks_within_the_limits_is_served():
    """A limit on the number of chunks refused callers that keep to the limits."""
    async with deployment() as world:
        port = world.gateways[0].settings.front.port
        stream = await trio.open_tcp_stream(HOST, port)
        await stream.send_all(CHUNKED % 0 + b"1\r\nx\r\n" * 70_000)
        await stream.send_all(b"0\r\n\r\n")
        with trio.fail_after(30.0):
            answer = await stream.receive_some(1_000)
        assert b" 200 " in answer


async def test_input_that_gives_way_keeps_nothing_unparsed():
    """Processes ended as what gave way was kept while its connection was closed."""
    own, other = socket.socketpair()
    with own, other:
        reader = RequestReader(
            trio.SocketStream(trio.socket.from_stdlib_socket(own)),
            lambda: LIMITS,
            ManualClock().monotonic_s,
            InputMemory(200.0, ManualClock()),
            trio.lowlevel.checkpoint,
        )
        reader.parser.receive_data(
            b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        assert isinstance(reader.parser.next_event(), h11.Request)
        reader.parser.receive_data(b"a\r\n0123456789\r\n" * 4_000)
        reader._give_way()
        assert not reader.parser.trailing_data[0]
        assert reader.unparsed_bytes == 60_000
        reader.drop()
        assert reader.unparsed_bytes == 0
        refusal = h11.Response(status_code=503, headers=[(b"Content-Length", b"0")])
        assert reader.parser.send(refusal).startswith(b"HTTP/1.1 503")


async def test_rejected_input_keeps_nothing_unparsed():
    """Guards against input that is kept while its caller takes the refusal."""
    own, other = socket.socketpair()
    with own, other:
        reader = RequestReader(
            trio.SocketStream(trio.socket.from_stdlib_socket(own)),
            lambda: LIMITS,
            ManualClock().monotonic_s,
            InputMemory(200.0, ManualClock()),
            trio.lowlevel.checkpoint,
        )
        reader.parser.receive_data(b"no request\r\n\r\n" + b"x" * 60_000)
        with pytest.raises(RejectedInput):
            reader._parser_event()
        reader.drop()
        assert reader.unparsed_bytes == 0
        refusal = h11.Response(status_code=400, headers=[(b"Content-Length", b"0")])
        assert reader.parser.send(refusal).startswith(b"HTTP/1.1 400")
