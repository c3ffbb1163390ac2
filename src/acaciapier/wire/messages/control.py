"""Messages of the protocol itself: handshake and call control."""

from .base import Message


class Hello(Message, frozen=True):
    """First message of the side that opens a connection.

    `key_ids` names the fleet keys that it accepts, newest first.
    """

    instance_id: str
    incarnation: int
    data_centre: str
    region: str
    versions: tuple[int, ...]
    key_ids: tuple[str, ...]
    nonce: bytes


class Challenge(Message, frozen=True):
    """Answer to a hello, with the proof of the accepting side."""

    instance_id: str
    incarnation: int
    data_centre: str
    region: str
    version: int
    key_id: str
    nonce: bytes
    proof: bytes


class Proof(Message, frozen=True):
    """Proof of the side that opened the connection."""

    proof: bytes


class Rejection(Message, frozen=True):
    """Refuses a connection, with the reason; the sender closes it afterwards."""

    reason: str


class Acknowledgement(Message, frozen=True):
    """Answer of a handler without a result."""


class CallFailure(Message, frozen=True):
    """Answer to a call that failed, with the reason."""

    reason: str


class Credit(Message, frozen=True):
    """Permits the peer to send `count` more messages of a stream."""

    count: int
