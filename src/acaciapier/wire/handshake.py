"""Mutual authentication when a connection is opened.

The opening side sends `Hello` with a nonce, the accepting side answers with
`Challenge`: its own nonce and an HMAC over both messages. The opening side checks it
and sends `Proof`, an HMAC over the same data with another label. A replayed handshake
fails because the accepting side's nonce is new each time.
"""

import secrets
from dataclasses import dataclass
from typing import TypeVar

import msgspec
import trio

from ..core.ids import DataCentreId, Incarnation, InstanceId, RegionId
from ..exceptions import ProtocolError
from .codec import MessageRegistry, encode_message
from .frames import (
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    PROTOCOL_VERSIONS,
    FrameKind,
    FrameReader,
    encode_frame,
)
from .keys import FleetKeys
from .messages.base import Message, message_tag
from .messages.control import Challenge, Hello, Proof, Rejection

NONCE_BYTES = 16
RECEIVE_BYTES = 65_536
_OPENER = b"opener"
_ACCEPTOR = b"acceptor"
MessageT = TypeVar("M", bound=Message)
_registry = MessageRegistry((Hello, Challenge, Proof, Rejection))


@dataclass(frozen=True)
class PeerIdentity:
    """Identity of an instance, as sent in its hello."""

    instance_id: InstanceId
    incarnation: Incarnation
    data_centre: DataCentreId
    region: RegionId


@dataclass(frozen=True)
class Session:
    """Result of a handshake: the authenticated peer and the protocol version."""

    peer: PeerIdentity
    version: int


class HandshakeChannel:
    """Exchanges the handshake messages on a newly connected stream.

    Parameters
    ----------
    stream : trio.abc.Stream
        Connected stream.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.stream = stream
        self.reader = FrameReader(MAX_HANDSHAKE_BYTES)

    async def send(self, message: Message) -> None:
        """Send one message."""
        body = encode_message(message)
        await self.stream.send_all(encode_frame(FrameKind.HANDSHAKE, 0, body))

    async def receive(self, expected: type[MessageT]) -> MessageT:
        """Return the next message, which must be of type `expected`.

        Raises
        ------
        ProtocolError
            If the peer rejects or closes the connection, or sends another message.
        """
        while (frame := self.reader.next_frame()) is None:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise ProtocolError("the peer closed the connection in the handshake")
            self.reader.feed_bytes(data)
        if frame.kind is not FrameKind.HANDSHAKE:
            raise ProtocolError(f"a {frame.kind.name} frame before the handshake")
        message = _registry.decode(frame.body)
        if isinstance(message, Rejection):
            raise ProtocolError(f"the peer rejects the connection: {message.reason}")
        if not isinstance(message, expected):
            raise ProtocolError(
                f"unexpected {message_tag(type(message))} in the handshake"
            )
        return message

    def finish(self) -> FrameReader:
        """Return the reader, with the frame size limit for authenticated peers."""
        self.reader.max_frame_bytes = MAX_FRAME_BYTES
        return self.reader


async def open_session(
    channel: HandshakeChannel, identity: PeerIdentity, keys: FleetKeys
) -> Session:
    """Run the handshake of the side that opened the connection.

    Raises
    ------
    ProtocolError
        If the peer cannot prove that it knows a fleet key.
    """
    hello = Hello(
        instance_id=identity.instance_id,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        region=identity.region,
        versions=PROTOCOL_VERSIONS,
        key_ids=keys.key_ids,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )
    await channel.send(hello)
    challenge = await channel.receive(Challenge)
    transcript = _transcript(hello, challenge)
    if not keys.verify(challenge.key_id, challenge.proof, _ACCEPTOR, transcript):
        raise ProtocolError("the peer does not know the fleet key")
    if challenge.version not in PROTOCOL_VERSIONS:
        raise ProtocolError(f"unknown protocol version {challenge.version}")
    await channel.send(Proof(keys.sign(challenge.key_id, _OPENER, transcript)))
    return Session(_peer_identity(challenge), challenge.version)


async def accept_session(
    channel: HandshakeChannel, identity: PeerIdentity, keys: FleetKeys
) -> Session:
    """Run the handshake of the side that accepted the connection.

    Raises
    ------
    ProtocolError
        If the peer cannot prove that it knows a fleet key.
    """
    hello = await channel.receive(Hello)
    shared = [version for version in hello.versions if version in PROTOCOL_VERSIONS]
    key_id = keys.newest_shared_id(hello.key_ids)
    if not shared or key_id is None:
        reason = "no shared fleet key" if shared else "no shared protocol version"
        await channel.send(Rejection(reason))
        raise ProtocolError(f"{hello.instance_id}: {reason}")
    challenge = _make_challenge(hello, identity, keys, max(shared), key_id)
    await channel.send(challenge)
    proof = await channel.receive(Proof)
    transcript = _transcript(hello, challenge)
    if not keys.verify(key_id, proof.proof, _OPENER, transcript):
        raise ProtocolError(f"{hello.instance_id} does not know the fleet key")
    return Session(_peer_identity(hello), challenge.version)


def _make_challenge(
    hello: Hello, identity: PeerIdentity, keys: FleetKeys, version: int, key_id: str
) -> Challenge:
    unsigned = Challenge(
        instance_id=identity.instance_id,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        region=identity.region,
        version=version,
        key_id=key_id,
        nonce=secrets.token_bytes(NONCE_BYTES),
        proof=b"",
    )
    proof = keys.sign(key_id, _ACCEPTOR, _transcript(hello, unsigned))
    return msgspec.structs.replace(unsigned, proof=proof)


def _transcript(hello: Hello, challenge: Challenge) -> bytes:
    """Return the bytes that both proofs cover: all fields but the proof."""
    unsigned = msgspec.structs.replace(challenge, proof=b"")
    return encode_message(hello) + encode_message(unsigned)


def _peer_identity(message: Hello | Challenge) -> PeerIdentity:
    return PeerIdentity(
        InstanceId(message.instance_id),
        Incarnation(message.incarnation),
        DataCentreId(message.data_centre),
        RegionId(message.region),
    )
