"""Accepting side: authenticates connections before they are used."""

from collections.abc import Awaitable, Callable

import trio
from logbook import Logger

from ..exceptions import PeerUnavailable, ProtocolError
from .connector import TlsContexts, limit_unacknowledged
from .counters import TrafficCounters
from .handshake import HandshakeChannel, PeerIdentity, Session, accept_session
from .keys import FleetKeys

MAX_HANDSHAKES = 64
HANDSHAKE_TIMEOUT_S = 5.0

log = Logger(__name__)


class Acceptor:
    """Listens, runs the handshake and hands proven connections over.

    Parameters
    ----------
    identity : PeerIdentity
        Who this instance is.
    keys : FleetKeys
        Accepted fleet keys.
    tls : TlsContexts or None
        TLS, if it is used.
    counters : TrafficCounters
        Where accepted and rejected connections are counted.
    adopt : callable
        Coroutine that runs a connection until it ends.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        keys: FleetKeys,
        tls: TlsContexts | None,
        counters: TrafficCounters,
        adopt: Callable[[HandshakeChannel, Session], Awaitable[None]],
    ):
        self._identity = identity
        self._keys = keys
        self._tls = tls
        self._counters = counters
        self._adopt = adopt
        self._handshakes = 0

    async def listen(self, nursery: trio.Nursery, host: str, port: int) -> int:
        """Start to accept connections; return the port."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(trio.serve_listeners, self._accept, listeners)
        return listeners[0].socket.getsockname()[1]

    async def _accept(self, stream: trio.SocketStream) -> None:
        if self._handshakes >= MAX_HANDSHAKES:
            return
        limit_unacknowledged(stream)
        if self._tls is not None:
            stream = trio.SSLStream(stream, self._tls.server, server_side=True)
        channel = HandshakeChannel(stream)
        try:
            session = await self._authenticate(channel)
            if session is not None:
                await self._adopt(channel, session)
        finally:
            await trio.aclose_forcefully(stream)

    async def _authenticate(self, channel: HandshakeChannel) -> Session | None:
        self._handshakes += 1
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                session = await accept_session(channel, self._identity, self._keys)
        except (ProtocolError, PeerUnavailable, trio.TooSlowError) as error:
            self._counters.rejected_handshakes += 1
            log.warning("connection rejected: {}", error)
            return None
        except (OSError, trio.BrokenResourceError) as error:
            self._counters.rejected_handshakes += 1
            log.info("connection failed in the handshake: {!r}", error)
            return None
        finally:
            self._handshakes -= 1
        self._counters.accepted_connections += 1
        return session
