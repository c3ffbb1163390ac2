"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import socket
from dataclasses import dataclass

import trio

from acaciapier.http.caller import LINGER_RESET

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class _Ended(Exception):
    """One side of a connection has ended it regularly."""


@dataclass
class LinkFaults:
    """What a link does to its connections at the moment."""

    delay_s: float = 0.0
    cut_to_server: bool = False
    cut_to_client: bool = False
    refuse: bool = False


class Link:
    """Forwards connections to one server.

    Parameters
    ----------
    port : int
        Port of the server.
    """

    def __init__(self, port: int):
        self.faults = LinkFaults()
        self.port = 0
        self._server_port = port
        self._open: set[trio.CancelScope] = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def reset_all(self) -> None:
        """Break every open connection."""
        for scope in list(self._open):
            scope.cancel()

    async def _serve(self, client: trio.SocketStream) -> None:
        if self.faults.refuse:
            return
        with trio.CancelScope() as scope:
            self._open.add(scope)
            try:
                try:
                    server = await trio.open_tcp_stream(HOST, self._server_port)
                except OSError:
                    return
                async with client, server:
                    await self._forward(client, server)
            finally:
                self._open.discard(scope)

    async def _forward(
        self, client: trio.SocketStream, server: trio.SocketStream
    ) -> None:
        """Forward until one side ends; anything but a regular end is a reset."""
        ended = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass, client, server, True)
                nursery.start_soon(self._pass, server, client, False)
        except* _Ended:
            ended = True
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            if not ended:
                for stream in (client, server):
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    async def _pass(self, source, sink, to_server: bool) -> None:
        while data := await source.receive_some(CHUNK_BYTES):
            if self.faults.delay_s:
                await trio.sleep(self.faults.delay_s)
            cut = self.faults.cut_to_server if to_server else self.faults.cut_to_client
            while cut:
                await trio.sleep(0.05)
                cut = (
                    self.faults.cut_to_server
                    if to_server
                    else self.faults.cut_to_client
                )
            await sink.send_all(data)
        # The other side is to notice at once.
        raise _Ended
