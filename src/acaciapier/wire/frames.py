"""Length-prefixed frames, the units of transmission on a connection.

A frame is a big-endian header of ten bytes and a body. The header has a u32 length
of everything after this field, u8 protocol version, u8 kind and u32 call number;
the body is one message in MessagePack.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum

from ..exceptions import ProtocolError

PROTOCOL_VERSIONS = (1,)
MAX_FRAME_BYTES = 1 << 20
MAX_HANDSHAKE_BYTES = 4096
_HEADER = struct.Struct("!IBBI")
HEADER_BYTES = _HEADER.size
_LENGTH_BYTES = 4
_PREFIX_BYTES = _HEADER.size - _LENGTH_BYTES


class FrameKind(IntEnum):
    """Kind of a frame's content."""

    HANDSHAKE = 0
    SEND = 1
    CALL = 2
    ANSWER = 3
    STREAM_CALL = 4
    STREAM_ITEM = 5
    STREAM_END = 6
    CREDIT = 7
    CANCEL = 8


_KINDS = {int(kind): kind for kind in FrameKind}


@dataclass(frozen=True, slots=True)
class Frame:
    """One received frame.

    Parameters
    ----------
    kind : FrameKind
        Kind of its content.
    number : int
        Number of the call that it belongs to, assigned by the calling side.
    body : bytes
        Encoded message.
    """

    kind: FrameKind
    number: int
    body: bytes


def encode_frame(
    kind: FrameKind, number: int, body: bytes, version: int = PROTOCOL_VERSIONS[-1]
) -> bytes:
    """Return the bytes of one frame.

    Raises
    ------
    ProtocolError
        If the frame would be larger than `MAX_FRAME_BYTES`.
    """
    length = _PREFIX_BYTES + len(body)
    if length > MAX_FRAME_BYTES:
        raise ProtocolError(
            f"a frame of {length} bytes is over the bound of {MAX_FRAME_BYTES}"
        )
    return _HEADER.pack(length, version, kind, number) + body


class FrameReader:
    """Incremental parser of received bytes into frames; does no I/O.

    Parameters
    ----------
    max_frame_bytes : int, optional
        Limit on the length field; may be raised after authentication.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES):
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Number of received bytes that are not yet returned as a frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are complete.

        Raises
        ------
        ProtocolError
            On an unknown version, an unknown kind or a length out of bounds.
        """
        self.feed_bytes(data)
        frames = []
        while (frame := self.next_frame()) is not None:
            frames.append(frame)
        return frames

    def feed_bytes(self, data: bytes) -> None:
        """Buffer received bytes; `next_frame` returns their frames one by one."""
        self._buffer += data

    def next_frame(self) -> Frame | None:
        """Return the next complete frame, or None if more bytes are needed."""
        buffer = self._buffer
        if len(buffer) < _HEADER.size:
            self._check_partial(buffer)
            return None
        length, version, kind, number = _HEADER.unpack_from(buffer)
        self._check_length(length)
        if version not in PROTOCOL_VERSIONS:
            raise ProtocolError(
                f"unknown protocol version {version}; known: {PROTOCOL_VERSIONS}"
            )
        if kind not in _KINDS:
            raise ProtocolError(f"unknown frame kind {kind}")
        end = _LENGTH_BYTES + length
        if len(buffer) < end:
            return None
        body = bytes(buffer[_HEADER.size : end])
        del buffer[:end]
        return Frame(_KINDS[kind], number, body)

    def _check_partial(self, buffer: bytearray) -> None:
        if len(buffer) >= _LENGTH_BYTES:
            self._check_length(int.from_bytes(buffer[:_LENGTH_BYTES], "big"))

    def _check_length(self, length: int) -> None:
        if not _PREFIX_BYTES <= length <= self.max_frame_bytes:
            raise ProtocolError(
                f"a frame of {length} bytes is outside the bounds of "
                f"{_PREFIX_BYTES} to {self.max_frame_bytes}"
            )
