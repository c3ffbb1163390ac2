"""Messages of the inner protocol itself: hello, proofs and call control."""

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
    """Answer to a hello, with the proof of the side that accepted."""

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
    """Reason why a connection is refused; it is closed after this."""

    reason: str


class Acknowledgement(Message, frozen=True):
    """Answer of a handler that has nothing to say."""


class CallFailure(Message, frozen=True):
    """Answer to a call that has no result, with the reason."""

    reason: str


class Credit(Message, frozen=True):
    """Permission to send `count` more messages of a stream."""

    count: int
