"""Calls, one-way messages and streams between the system's own processes."""

import random as random_module
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing
from itertools import chain

import trio
from logbook import Logger

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..core.tasks import Report, run_reported
from ..exceptions import PeerTimeout, PeerUnavailable, ProtocolError
from .acceptor import HANDSHAKE_TIMEOUT_S, Acceptor
from .codec import MessageRegistry
from .connection import Connection, LateHandler
from .connector import Connector, PeerAddress, TlsContexts
from .counters import TrafficCounters
from .dispatch import Dispatcher, Handler, StreamHandler
from .handshake import HandshakeChannel, PeerIdentity, Session
from .keys import FleetKeys
from .limits import NetworkLimits, choose_closable
from .messages.base import Message

MAX_PENDING_SENDS = 64
CLEANUP_PERIOD_S = 5.0

log = Logger(__name__)


class PeerNetwork:
    """Calls between instances over persistent, authenticated connections.

    Parameters
    ----------
    identity : PeerIdentity
        Identity of this instance.
    keys : FleetKeys
        Accepted fleet keys, newest first.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    tls : TlsContexts, optional
        Contexts for both directions; plain TCP by default.
    limits : NetworkLimits, optional
        Limits on connections.
    registry : MessageRegistry, optional
        Message types; all imported ones by default.
    report : callable, optional
        Called with an unexpected error, which ends only its connection; logs it by
        default.

    Examples
    --------
    >>> network = PeerNetwork(identity, keys, SystemClock(), Random())
    >>> network.register(Ping, answer_ping)
    >>> port = await nursery.start(network.serve, "127.0.0.1", 0)
    >>> network.set_addresses({peer: PeerAddress("10.0.0.7", 7400)})
    >>> answer = await network.call(peer, Ping(), timeout_ms=300)
    """

    def __init__(
        self,
        identity: PeerIdentity,
        keys: FleetKeys,
        clock: Clock,
        random: random_module.Random,
        tls: TlsContexts | None = None,
        limits: NetworkLimits = NetworkLimits(),
        registry: MessageRegistry | None = None,
        report: Report | None = None,
    ):
        self.identity = identity
        self.counters = TrafficCounters()
        self._clock = clock
        self._limits = limits
        self._registry = registry or MessageRegistry()
        self._dispatcher = Dispatcher()
        self._late_handlers: dict[type[Message], LateHandler] = {}
        self._connector = Connector(identity, keys, clock, random, tls)
        self._connections: dict[InstanceId, list[Connection]] = {}
        self._connect_locks: dict[InstanceId, trio.Lock] = {}
        self._pending_sends: dict[InstanceId, list[Message]] = {}
        self._report = report or _log_error
        self._acceptor = Acceptor(
            identity, keys, tls, self.counters, self._run_accepted, self._report
        )
        self._nursery: trio.Nursery | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return sum(len(connections) for connections in self._connections.values())

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Register `handler` for calls and one-way messages of `message_type`."""
        self._dispatcher.register(message_type, handler)

    def register_late(
        self, handler: LateHandler, *message_types: type[Message]
    ) -> None:
        """Register `handler` for answers that arrive after their call was cancelled.

        It gets the peer, the call and the answer. A call that is cancelled while its
        connection is opened has not been sent.
        """
        self._late_handlers.update(dict.fromkeys(message_types, handler))

    def register_stream(
        self, message_type: type[Message], handler: StreamHandler
    ) -> None:
        """Register the asynchronous generator `handler` for `call_stream`."""
        self._dispatcher.register_stream(message_type, handler)

    def set_addresses(
        self, addresses: Mapping[InstanceId, PeerAddress | tuple[str, int]]
    ) -> None:
        """Replace the known addresses of peers."""
        self._connector.addresses = {
            peer: PeerAddress(*address) for peer, address in addresses.items()
        }

    def add_addresses(
        self, addresses: Mapping[InstanceId, PeerAddress | tuple[str, int]]
    ) -> None:
        """Add or replace the addresses of some peers."""
        for peer, address in addresses.items():
            self._connector.addresses[peer] = PeerAddress(*address)

    async def serve(
        self,
        host: str | None = None,
        port: int = 0,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until `aclose`; without a host, accept no connections.

        `task_status` receives the bound port, 0 without a host.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._close_excess_connections)
            try:
                if host is not None:
                    port = await self._acceptor.listen(nursery, host, port)
                task_status.started(port)
                await trio.sleep_forever()
            finally:
                self._nursery = None
                nursery.cancel_scope.cancel()

    async def aclose(self) -> None:
        """Stop listening and close every connection."""
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()
        await trio.lowlevel.checkpoint()

    async def call(
        self, peer: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Send `message` to `peer` and return its answer.

        Raises
        ------
        PeerUnavailable
            If no answer arrived in time; `CallFailed` if the answer is a failure.
        ProtocolError
            If `message` exceeds the frame size limit.
        """
        with trio.move_on_after(to_s(timeout_ms)):
            connection = await self._connect(peer)
            return await connection.call(message)
        raise PeerTimeout(f"{peer} did not answer within {timeout_ms:g} ms")

    async def send(self, peer: InstanceId, message: Message) -> None:
        """Send a one-way message to `peer`; it may be dropped."""
        await trio.lowlevel.checkpoint()
        self.send_soon(peer, message)

    def send_soon(self, peer: InstanceId, message: Message) -> None:
        """Queue `message` for `peer` without waiting; it may be dropped.

        One that is too large for a frame is always dropped.
        """
        connection = self._open_connection(peer)
        try:
            if connection is not None:
                connection.send(message)
            else:
                self._send_after_connecting(peer, message)
        except PeerUnavailable:
            self.counters.dropped_sends += 1
        except ProtocolError as error:
            self.counters.dropped_sends += 1
            log.warning("message to {} dropped: {}", peer, error)

    async def call_stream(
        self, peer: InstanceId, message: Message, timeout_ms: float = 5_000.0
    ) -> AsyncGenerator[Message, None]:
        """Send `message` to `peer` and yield the messages of its answer.

        Wrap it in `contextlib.aclosing`, so that leaving early cancels the stream.

        Parameters
        ----------
        peer : InstanceId
            The peer to call.
        message : Message
            The request.
        timeout_ms : float, optional
            Timeout of connecting; the stream itself has none.

        Raises
        ------
        PeerUnavailable
            If the peer is unreachable or the connection closes during the stream.
        """
        connection = None
        with trio.move_on_after(to_s(timeout_ms)):
            connection = await self._connect(peer)
        if connection is None:
            raise PeerUnavailable(f"no connection to {peer} in {timeout_ms:g} ms")
        async with aclosing(connection.call_stream(message)) as stream:
            async for item in stream:
                yield item

    async def join(self, address: PeerAddress, timeout_ms: float) -> InstanceId:
        """Connect to whichever instance listens at `address`; return its id.

        Raises
        ------
        PeerUnavailable
            If no instance answers there in time.
        """
        opened = None
        with trio.move_on_after(to_s(timeout_ms)):
            opened = await self._connector.open_at(address)
        if opened is None or self._nursery is None:
            raise PeerUnavailable(f"nobody at {address} in {timeout_ms:g} ms")
        channel, session = opened
        self._nursery.start_soon(self._run, self._add_connection(channel, session))
        return session.peer.instance_id

    async def close_connections(self, peer: InstanceId) -> None:
        """Close all connections to `peer`, so that the next call opens a new one."""
        for connection in list(self._connections.get(peer, ())):
            await connection.aclose()

    def _send_after_connecting(self, peer: InstanceId, message: Message) -> None:
        if self._nursery is None:
            raise PeerUnavailable("the network is not running")
        pending = self._pending_sends.get(peer)
        if pending is None:
            self._pending_sends[peer] = [message]
            self._nursery.start_soon(self._flush_sends, peer)
        elif len(pending) < MAX_PENDING_SENDS:
            pending.append(message)
        else:
            raise PeerUnavailable(f"{len(pending)} messages already wait for {peer}")

    async def _flush_sends(self, peer: InstanceId) -> None:
        connection = None
        try:
            with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
                connection = await self._connect(peer)
        except PeerUnavailable as error:
            log.debug("messages to {} dropped: {}", peer, error)
        except Exception as error:
            self._report(error)
        pending = self._pending_sends.pop(peer)
        if connection is None:
            self.counters.dropped_sends += len(pending)
            return
        for message in pending:
            self.send_soon(peer, message)

    def _open_connection(self, peer: InstanceId) -> Connection | None:
        for connection in self._connections.get(peer, ()):
            if not connection.closed:
                connection.last_used_s = self._clock.monotonic_s()
                return connection
        return None

    async def _connect(self, peer: InstanceId) -> Connection:
        """Return an open connection to `peer`, opening one if needed."""
        connection = self._open_connection(peer)
        if connection is not None:
            return connection
        if self._nursery is None:
            raise PeerUnavailable("the network is not running")
        lock = self._connect_locks.setdefault(peer, trio.Lock())
        async with lock:
            connection = self._open_connection(peer)
            if connection is not None:
                return connection
            try:
                channel, session = await self._connector.open(peer)
            except PeerUnavailable:
                self.counters.failed_connections += 1
                raise
            self.counters.opened_connections += 1
            connection = self._add_connection(channel, session)
            self._nursery.start_soon(self._run, connection)
            return connection

    async def _run_accepted(self, channel: HandshakeChannel, session: Session) -> None:
        await self._run(self._add_connection(channel, session))

    def _add_connection(
        self, channel: HandshakeChannel, session: Session
    ) -> Connection:
        if self._nursery is None:
            raise PeerUnavailable("the network is closing")
        connection = Connection(
            channel.stream,
            channel.finish(),
            session,
            self._registry,
            self._dispatcher,
            self.counters,
            self._clock,
            self._late_handlers,
        )
        peers = self._connections.setdefault(session.peer.instance_id, [])
        peers.append(connection)
        return connection

    async def _run(self, connection: Connection) -> None:
        peer = connection.peer.instance_id
        try:
            await run_reported(self._report, connection.run)
        finally:
            self._connections[peer].remove(connection)
            if not self._connections[peer]:
                del self._connections[peer]
                self._connect_locks.pop(peer, None)

    async def _close_excess_connections(self) -> None:
        """Periodically close idle connections and those above the limit."""
        while True:
            await trio.sleep(CLEANUP_PERIOD_S)
            all_connections = chain.from_iterable(self._connections.values())
            now_s = self._clock.monotonic_s()
            for connection in choose_closable(all_connections, self._limits, now_s):
                await run_reported(self._report, connection.aclose)


def _log_error(error: Exception) -> None:
    log.error("unexpected error of a connection", exc_info=error)
