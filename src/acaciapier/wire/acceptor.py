"""Accepts connections and authenticates them before use."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio
from logbook import Logger

from ..core.tasks import Report, run_reported
from ..exceptions import PeerUnavailable, ProtocolError
from .connector import TlsContexts, set_unacknowledged_timeout
from .counters import TrafficCounters
from .handshake import HandshakeChannel, PeerIdentity, Session, accept_session
from .keys import FleetKeys

MAX_OPEN_HANDSHAKES = 64
HANDSHAKE_TIMEOUT_S = 5.0

log = Logger(__name__)


class Acceptor:
    """Listens, runs the handshake and passes on authenticated connections.

    Parameters
    ----------
    identity : PeerIdentity
        Identity of this instance.
    keys : FleetKeys
        Accepted fleet keys.
    tls : TlsContexts or None
        TLS contexts; None for plain TCP.
    counters : TrafficCounters
        Counters of accepted connections and rejected handshakes.
    run_connection : callable
        Coroutine that runs an authenticated connection until it closes.
    report : callable
        Called with an unexpected error, which ends only its connection.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        keys: FleetKeys,
        tls: TlsContexts | None,
        counters: TrafficCounters,
        run_connection: Callable[[HandshakeChannel, Session], Awaitable[None]],
        report: Report,
    ):
        self._identity = identity
        self._keys = keys
        self._tls = tls
        self._counters = counters
        self._run_connection = run_connection
        self._report = report
        self._open_handshakes = 0

    async def listen(self, nursery: trio.Nursery, host: str, port: int) -> int:
        """Start accepting connections; return the bound port."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        accept = partial(run_reported, self._report, self._accept)
        nursery.start_soon(trio.serve_listeners, accept, listeners)
        return listeners[0].socket.getsockname()[1]

    async def _accept(self, stream: trio.SocketStream) -> None:
        if self._open_handshakes >= MAX_OPEN_HANDSHAKES:
            return
        set_unacknowledged_timeout(stream)
        if self._tls is not None:
            stream = trio.SSLStream(stream, self._tls.server, server_side=True)
        channel = HandshakeChannel(stream)
        try:
            session = await self._authenticate(channel)
            if session is not None:
                await self._run_connection(channel, session)
        finally:
            await trio.aclose_forcefully(stream)

    async def _authenticate(self, channel: HandshakeChannel) -> Session | None:
        self._open_handshakes += 1
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                session = await accept_session(channel, self._identity, self._keys)
        except (ProtocolError, PeerUnavailable, trio.TooSlowError) as error:
            self._counters.rejected_handshakes += 1
            log.warning("connection rejected: {}", error)
            return None
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._counters.rejected_handshakes += 1
            log.info("connection failed during the handshake: {!r}", error)
            return None
        finally:
            self._open_handshakes -= 1
        self._counters.accepted_connections += 1
        return session
