"""Messages of tunnels: connections to workers that lead through another instance.

`OpenTunnel` is a stream call. Its answer begins with `TunnelOpened` or `TunnelRefused`;
`TunnelData` messages with the bytes from the worker follow, and `TunnelEnded` is the
last one. A stream without it has broken. Bytes to the worker are sent by `WriteTunnel`
calls, one at a time; their answers limit the rate.
"""

from .base import Message


class OpenTunnel(Message, frozen=True):
    """Requests a connection to one incarnation of a worker.

    `tunnel` names the tunnel among those of the sender, `request` the request that it
    is opened for; it may be empty.
    """

    tunnel: int
    worker: str
    request: str = ""


class TunnelOpened(Message, frozen=True):
    """The connection to the worker is open."""


class TunnelRefused(Message, frozen=True):
    """No connection was opened; nothing was sent to the worker."""

    cause: str
    reason: str = ""


class TunnelData(Message, frozen=True):
    """Bytes from the worker."""

    data: bytes


class TunnelEnded(Message, frozen=True):
    """The worker has closed the connection, cleanly or by a reset."""

    clean: bool
    reason: str = ""


class WriteTunnel(Message, frozen=True):
    """Bytes to the worker; answered once they are written."""

    tunnel: int
    data: bytes


class TunnelWritten(Message, frozen=True):
    """Answer to `WriteTunnel`: whether the connection took the bytes."""

    accepted: bool
