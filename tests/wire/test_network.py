"""Tests of calls, sends and streams over real loopback sockets."""

import socket
import ssl
from contextlib import aclosing

import pytest
import trio
import trustme

from acaciapier.exceptions import PeerUnavailable
from acaciapier.wire import (
    CallFailed,
    Message,
    NetworkLimits,
    TlsContexts,
    acceptor,
    connector,
)
from wire.support import (
    LOOPBACK,
    CountCall,
    CountItem,
    EchoCall,
    FailingCall,
    RenamedCall,
    make_network,
    running_peers,
)


class Unhandled(Message, frozen=True):
    pass


async def wait_until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.005)


async def test_many_concurrent_calls_each_get_their_own_answer():
    async with running_peers() as peers:
        answers = {}

        async def call(number):
            message = EchoCall(str(number), delay_ms=(number * 7) % 20)
            answers[number] = await peers.a.call("b", message, 5_000)

        async with trio.open_nursery() as nursery:
            for number in range(200):
                nursery.start_soon(call, number)
        assert answers == {n: EchoCall(f"a:{n}") for n in range(200)}
        assert peers.a.counters.opened_connections == 1


async def test_the_accepting_side_calls_back_on_the_same_connection():
    async with running_peers() as peers:
        await peers.a.call("b", EchoCall("x"), 5_000)
        assert await peers.b.call("a", EchoCall("y"), 5_000) == EchoCall("b:y")
        assert peers.b.counters.opened_connections == 0


async def test_an_answer_after_its_timeout_is_dropped():
    async with running_peers() as peers:
        with pytest.raises(PeerUnavailable):
            await peers.a.call("b", EchoCall("late", delay_ms=80), 20)
        await wait_until(lambda: peers.a.counters.late_answers == 1)
        assert await peers.a.call("b", EchoCall("x"), 5_000) == EchoCall("a:x")


async def test_a_failing_handler_and_an_unhandled_message_fail_their_call_alone():
    async with running_peers() as peers:
        with pytest.raises(CallFailed, match="FailingCall failed: KeyError"):
            await peers.a.call("b", FailingCall(), 5_000)
        with pytest.raises(CallFailed, match="nothing handles Unhandled"):
            await peers.a.call("b", Unhandled(), 5_000)
        assert await peers.a.call("b", EchoCall("x"), 5_000) == EchoCall("a:x")
        assert peers.a.counters.opened_connections == 1


async def test_a_message_with_a_tag_of_its_own_is_counted_and_reported_by_it():
    async with running_peers() as peers:
        with pytest.raises(CallFailed, match="nothing handles OutwardName here"):
            await peers.a.call("b", RenamedCall("x"), 5_000)
        peers.b.register(RenamedCall, peers.fail)
        with pytest.raises(ValueError, match="OutwardName already has a handler"):
            peers.b.register(RenamedCall, peers.fail)
        with pytest.raises(CallFailed, match="handler of OutwardName failed: KeyError"):
            await peers.a.call("b", RenamedCall("x"), 5_000)
        assert peers.a.counters.sent_messages["OutwardName"] == 2
        assert peers.b.counters.received_messages["OutwardName"] == 2
        assert peers.a.counters.sent_bytes["OutwardName"] == 50
        assert peers.b.counters.received_bytes["OutwardName"] == 50
        for counters in (peers.a.counters, peers.b.counters):
            assert "RenamedCall" not in counters.sent_messages
            assert "RenamedCall" not in counters.received_messages


async def test_sends_before_the_connection_are_bounded_and_arrive():
    async with running_peers() as peers:
        for number in range(100):
            peers.a.send_soon("b", EchoCall(str(number)))
        assert peers.a.counters.dropped_sends == 36
        await wait_until(lambda: peers.b.counters.received_messages["EchoCall"] == 64)


async def test_an_unreachable_peer_fails_and_is_not_tried_again_at_once():
    async with running_peers() as peers:
        with socket.socket() as unused:
            unused.bind((LOOPBACK, 0))
            peers.a.set_addresses({"c": unused.getsockname()})
            for _ in range(5):
                with pytest.raises(PeerUnavailable):
                    await peers.a.call("c", EchoCall("x"), 5_000)
        with pytest.raises(PeerUnavailable, match="failed shortly before"):
            await peers.a.call("c", EchoCall("x"), 5_000)


async def test_a_peer_that_answers_under_another_name_is_refused():
    async with running_peers() as peers:
        peers.a.set_addresses({"c": (LOOPBACK, peers.ports["b"])})
        with pytest.raises(PeerUnavailable, match="b answers for c"):
            await peers.a.call("c", EchoCall("x"), 5_000)


async def test_a_stream_arrives_whole_and_in_order():
    async with running_peers() as peers:
        items = [item async for item in peers.a.call_stream("b", CountCall(300))]
        assert [item.number for item in items] == list(range(300))


async def test_a_slow_reader_holds_up_its_own_stream_only():
    async with running_peers() as peers:
        async with aclosing(peers.a.call_stream("b", CountCall(1000))) as stream:
            assert (await anext(stream)).number == 0
            for _ in range(20):
                await peers.a.call("b", EchoCall("x"), 5_000)
            assert peers.sent_items <= 33
        await wait_until(lambda: peers.b.connection_count == 1)
        assert peers.sent_items <= 33


async def test_closing_the_network_breaks_a_stream_with_an_error():
    async with running_peers() as peers:
        with pytest.raises(PeerUnavailable):
            async for _ in peers.a.call_stream("b", CountCall(100_000)):
                await peers.b.aclose()


async def test_a_frozen_peer_delays_no_other():
    async with running_peers() as peers:
        listener = socket.socket()
        listener.bind((LOOPBACK, 0))
        listener.listen(1)
        addresses = {
            "frozen": listener.getsockname(),
            "b": (LOOPBACK, peers.ports["b"]),
        }
        peers.a.set_addresses(addresses)
        async with trio.open_nursery() as nursery:

            async def call_frozen():
                with pytest.raises(PeerUnavailable):
                    await peers.a.call("frozen", EchoCall("x"), 200)

            nursery.start_soon(call_frozen)
            for _ in range(20):
                await peers.a.call("b", EchoCall("x"), 5_000)
        listener.close()


async def test_idle_connections_are_closed(autojump_clock):
    # The periodic check follows trio's clock, the idle time the network's own clock.
    async with running_peers(limits=NetworkLimits(idle_close_ms=-1.0)) as peers:
        with trio.CancelScope():
            await peers.a.call("b", EchoCall("x"), 500_000)
        await trio.sleep(11)
        assert peers.a.connection_count == 0
        answer = await peers.a.call("b", EchoCall("again"), 500_000)
        assert answer == EchoCall("a:again")


async def test_keys_rotate_in_steps_and_unknown_keys_are_refused():
    old, new, other = b"o" * 16, b"n" * 16, b"x" * 16
    server = make_network("server", keys=(new, old))

    async def echo(peer, message):
        return message

    server.register(EchoCall, echo)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, LOOPBACK, 0)
        for keys, accepted in (((old,), True), ((new,), True), ((other,), False)):
            client = make_network("client", keys=keys)
            await nursery.start(client.serve)
            client.set_addresses({"server": (LOOPBACK, port)})
            if accepted:
                await client.call("server", EchoCall("x"), 5_000)
            else:
                with pytest.raises(PeerUnavailable, match="no shared fleet key"):
                    await client.call("server", EchoCall("x"), 5_000)
            await client.aclose()
        assert server.counters.rejected_handshakes == 1
        await server.aclose()


async def test_calls_over_tls():
    authority = trustme.CA()
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert(LOOPBACK).configure_cert(server)
    client = ssl.create_default_context()
    authority.configure_trust(client)
    async with running_peers(tls=TlsContexts(server, client)) as peers:
        assert await peers.a.call("b", EchoCall("x"), 5_000) == EchoCall("a:x")
        items = [item async for item in peers.a.call_stream("b", CountCall(3))]
        assert items[-1] == CountItem(2, b"x" * 1000)


async def test_both_sides_bound_unacknowledged_data(monkeypatch):
    timeouts_ms = []
    for module in (acceptor, connector):
        original = module.set_unacknowledged_timeout

        def record_timeout(stream, original=original):
            original(stream)
            option = socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            timeouts_ms.append(stream.getsockopt(*option))

        monkeypatch.setattr(module, "set_unacknowledged_timeout", record_timeout)
    async with running_peers() as peers:
        await peers.a.call("b", EchoCall("x"), 5_000)
    assert timeouts_ms == [10_000, 10_000]
