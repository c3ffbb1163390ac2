"""Tests of frames, codec and handshake against broken and hostile peers."""

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from acaciapier.exceptions import ProtocolError
from acaciapier.wire import (
    FleetKeys,
    Message,
    MessageRegistry,
    encode_message,
    handshake,
)
from acaciapier.wire.frames import (
    MAX_FRAME_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    encode_frame,
)
from acaciapier.wire.handshake import HandshakeChannel, open_session
from acaciapier.wire.messages.control import Challenge, Hello, Proof
from wire.support import (
    KEY,
    LOOPBACK,
    EchoCall,
    RenamedCall,
    make_network,
    running_peers,
)


@given(
    st.lists(st.binary(max_size=50), max_size=8),
    st.lists(st.integers(1, 40), min_size=1),
)
def test_frames_survive_any_cut(bodies, cuts):
    frames = [Frame(FrameKind.CALL, n, body) for n, body in enumerate(bodies)]
    data = b"".join(encode_frame(f.kind, f.number, f.body) for f in frames)
    reader, received = FrameReader(), []
    while data:
        cut = cuts[len(data) % len(cuts)]
        received += reader.feed(data[:cut])
        data = data[cut:]
    assert received == frames
    assert reader.pending_bytes == 0


@pytest.mark.parametrize(
    ("data", "message"),
    [
        ((MAX_FRAME_BYTES + 1).to_bytes(4, "big"), "1048577 bytes is outside"),
        (b"\0\0\0\1", "1 bytes is outside"),
        (b"\0\0\0\6\x09\1\0\0\0\0", "unknown protocol version 9"),
        (b"\0\0\0\6\1\x63\0\0\0\0", "unknown frame kind 99"),
    ],
)
def test_bad_frames_are_refused_by_their_header(data, message):
    with pytest.raises(ProtocolError, match=message):
        FrameReader().feed(data)


def test_an_oversized_message_is_refused_before_it_is_sent():
    with pytest.raises(ProtocolError, match="over the bound"):
        encode_frame(FrameKind.CALL, 1, b"x" * MAX_FRAME_BYTES)


def test_unknown_and_malformed_messages_are_named():
    registry = MessageRegistry((EchoCall,))
    assert registry.decode(encode_message(EchoCall("x"))) == EchoCall("x")
    with pytest.raises(ProtocolError, match="unknown message type 'Proof'"):
        registry.decode(encode_message(Proof(b"")))
    with pytest.raises(ProtocolError, match="malformed EchoCall"):
        registry.decode(b"\x92\xa8EchoCall\x01")
    with pytest.raises(ProtocolError, match="unknown message type None"):
        registry.decode(b"\xc1")


def test_a_newer_message_with_appended_fields_is_read():
    body = b"\x94\xa8EchoCall\xa1x\x00\xa5extra"
    assert MessageRegistry().decode(body) == EchoCall("x")


def test_two_messages_of_one_name_are_refused():
    with pytest.raises(TypeError, match="both define the message EchoCall"):
        MessageRegistry((EchoCall, msgspec.defstruct("EchoCall", [], tag=True)))
    with pytest.raises(TypeError, match="both define the message OutwardName"):
        MessageRegistry(
            (RenamedCall, msgspec.defstruct("Other", [], tag="OutwardName"))
        )


def test_a_message_with_a_tag_of_its_own_is_known_by_this_tag_only():
    message = RenamedCall("x")
    encoded = encode_message(message)
    assert encoded == b"\x92\xabOutwardName\xa1x"
    for registry in (MessageRegistry((RenamedCall,)), MessageRegistry()):
        assert registry.decode(encoded) == message
        with pytest.raises(ProtocolError, match="malformed OutwardName message"):
            registry.decode(b"\x92\xabOutwardName\x01")
        with pytest.raises(ProtocolError, match="unknown message type 'RenamedCall'"):
            registry.decode(b"\x92\xabRenamedCall\xa1x")
    with pytest.raises(ProtocolError, match="unknown message type 'OutwardName'"):
        MessageRegistry((EchoCall,)).decode(encoded)


def test_a_message_imported_after_the_registry_is_found_by_its_tag():
    registry = MessageRegistry()
    late = msgspec.defstruct(
        "LateCall", [("text", str)], bases=(Message,), frozen=True, tag="LateTag"
    )
    assert registry.decode(b"\x92\xa7LateTag\xa1x") == late("x")


async def test_an_unexpected_message_in_the_handshake_is_reported_by_its_tag(
    monkeypatch,
):
    registry = MessageRegistry((Hello, RenamedCall))
    monkeypatch.setattr(handshake, "_registry", registry)
    left, right = trio.testing.memory_stream_pair()
    await HandshakeChannel(left).send(RenamedCall("x"))
    with pytest.raises(ProtocolError, match="unexpected OutwardName in the handshake"):
        await HandshakeChannel(right).receive(Hello)


def test_short_and_missing_keys_are_refused_and_keys_do_not_show():
    for keys in ((), (b"short",)):
        with pytest.raises(ValueError):
            FleetKeys(keys)
    assert KEY.hex()[:8] not in repr(FleetKeys((KEY,)))
    assert "fleet key of" not in repr(FleetKeys((KEY,)))


async def read_all(stream):
    """Return everything received until the peer closes."""
    received = b""
    with trio.fail_after(5):
        try:
            while chunk := await stream.receive_some(4096):
                received += chunk
        except trio.BrokenResourceError:
            pass
    return received


class RecordingStream(trio.abc.Stream):
    """Stream that records the data sent through it."""

    def __init__(self, stream):
        self.stream, self.sent = stream, b""

    async def send_all(self, data):
        self.sent += data
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self.stream.receive_some(max_bytes)

    async def aclose(self):
        await self.stream.aclose()


async def test_a_replayed_handshake_is_refused():
    async with running_peers() as peers:
        stream = RecordingStream(await trio.open_tcp_stream(LOOPBACK, peers.ports["b"]))
        client = make_network("client")
        await open_session(HandshakeChannel(stream), client.identity, FleetKeys((KEY,)))
        with trio.fail_after(5):
            while peers.b.connection_count < 1:
                await trio.sleep(0.005)
        replay = await trio.open_tcp_stream(LOOPBACK, peers.ports["b"])
        await replay.send_all(stream.sent)
        await read_all(replay)
        assert peers.b.counters.rejected_handshakes == 1
        assert peers.b.connection_count == 1
        await stream.aclose()


async def test_a_server_without_the_key_is_refused():
    async def pretend(stream):
        channel = HandshakeChannel(stream)
        hello = await channel.receive(Hello)
        await channel.send(
            Challenge("b", 1, "dc1", "r", 1, hello.key_ids[0], b"n" * 16, b"p" * 32)
        )
        await stream.receive_some()

    left, right = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pretend, right)
        with pytest.raises(ProtocolError, match="does not know the fleet key"):
            await open_session(
                HandshakeChannel(left),
                make_network("a").identity,
                FleetKeys((KEY,)),
            )
        await left.aclose()


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        encode_frame(FrameKind.CALL, 1, encode_message(EchoCall("x"))),
        encode_frame(FrameKind.HANDSHAKE, 0, b"\xff" * 100),
    ],
)
async def test_unauthenticated_connections_are_closed(data):
    async with running_peers() as peers:
        stream = await trio.open_tcp_stream(LOOPBACK, peers.ports["b"])
        await stream.send_all(data)
        assert await read_all(stream) == b""
        assert peers.b.counters.rejected_handshakes == 1
        assert peers.b.connection_count == 0


@pytest.mark.parametrize(
    "data",
    [
        b"\x7f\xff\xff\xff",
        encode_frame(FrameKind.CALL, 1, b"x" * 100)[:50],
        encode_frame(FrameKind.CALL, 1, b"", version=9),
    ],
)
async def test_a_broken_frame_closes_its_connection_alone(data):
    async with running_peers() as peers:
        await peers.a.call("b", EchoCall("x"), 5_000)
        stream = await trio.open_tcp_stream(LOOPBACK, peers.ports["b"])
        await open_session(
            HandshakeChannel(stream),
            make_network("c").identity,
            FleetKeys((KEY,)),
        )
        await stream.send_all(data)
        await stream.send_eof()
        await read_all(stream)
        assert peers.b.counters.protocol_errors == 1
        assert await peers.a.call("b", EchoCall("x"), 5_000) == EchoCall("a:x")
