"""Encoding and decoding of messages as MessagePack."""

from typing import Union

import msgspec

from ..exceptions import ProtocolError
from .messages.base import Message, message_tag

_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return the MessagePack form of `message`."""
    return _encoder.encode(message)


class MessageRegistry:
    """The message types that a process can decode, by tag.

    Parameters
    ----------
    types : iterable of type, optional
        Types to start with; all imported subclasses of `Message` by default.
    """

    def __init__(self, types=None):
        self._accepts_imported = types is None
        self._types: dict[str, type[Message]] = {}
        self._decoder = msgspec.msgpack.Decoder(Message)
        self.add(*(_all_message_types() if types is None else types))

    def add(self, *types: type[Message]) -> None:
        """Make `types` decodable.

        Raises
        ------
        TypeError
            If another type has the same tag.
        """
        for message_type in types:
            tag = message_tag(message_type)
            existing = self._types.setdefault(tag, message_type)
            if existing is not message_type:
                raise TypeError(
                    f"{message_type.__module__} and {existing.__module__} both "
                    f"define the message {tag}"
                )
        if self._types:
            union = Union[tuple(self._types.values())]
            self._decoder = msgspec.msgpack.Decoder(union)

    def decode(self, body: bytes) -> Message:
        """Return the message in `body`.

        Raises
        ------
        ProtocolError
            If its type is unknown or its fields do not fit the type.
        """
        try:
            return self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            tag = _read_tag(body)
            if tag not in self._types and self._add_imported(tag):
                return self.decode(body)
            if tag not in self._types:
                raise ProtocolError(f"unknown message type {tag!r}") from error
            raise ProtocolError(f"malformed {tag} message: {error}") from error

    def _add_imported(self, tag: str | None) -> bool:
        """Register newly imported types with `tag`; return whether any were found."""
        if not self._accepts_imported:
            return False
        found = [t for t in _all_message_types() if message_tag(t) == tag]
        self.add(*found)
        return bool(found)


def _all_message_types() -> list[type[Message]]:
    """Return every imported subclass of `Message`."""
    found = []
    pending = [Message]
    while pending:
        subclasses = pending.pop().__subclasses__()
        found += subclasses
        pending += subclasses
    return found


def _read_tag(body: bytes) -> str | None:
    """Return the tag of an encoded message, or None if it has none."""
    try:
        parts = msgspec.msgpack.decode(body, type=list[msgspec.Raw])
        return msgspec.msgpack.decode(parts[0], type=str)
    except (msgspec.MsgspecError, IndexError):
        return None
