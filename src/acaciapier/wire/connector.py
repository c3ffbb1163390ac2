"""Opens connections, with jittered exponential backoff after failures."""

import random as random_module
import socket
import ssl
from dataclasses import dataclass
from typing import NamedTuple

import trio

from ..core.clock import Clock
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable, ProtocolError
from .handshake import HandshakeChannel, PeerIdentity, Session, open_session
from .keys import FleetKeys

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 10.0
UNACKNOWLEDGED_TIMEOUT_MS = 10_000
CONNECT_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    ProtocolError,
    # An odd host or port raises these.
    OverflowError,
    ValueError,
)
"""Errors with which connecting or the handshake may fail."""


class PeerAddress(NamedTuple):
    """Address at which a peer listens."""

    host: str
    port: int


@dataclass(frozen=True)
class TlsContexts:
    """TLS contexts of the accepting and of the opening side."""

    server: ssl.SSLContext
    client: ssl.SSLContext


@dataclass(frozen=True)
class _Failure:
    """The last failed attempt and the earliest time of the next one."""

    reason: str
    backoff_s: float
    retry_at_s: float
    address: PeerAddress


class Connector:
    """Opens authenticated connections to peers by their known addresses.

    After a failure, attempts to the same address fail immediately until a jittered
    backoff has passed, which doubles up to `MAX_BACKOFF_S`.

    Parameters
    ----------
    identity : PeerIdentity
        Identity of this instance.
    keys : FleetKeys
        Accepted fleet keys.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    tls : TlsContexts or None
        TLS contexts; None for plain TCP.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        keys: FleetKeys,
        clock: Clock,
        random: random_module.Random,
        tls: TlsContexts | None,
    ):
        self.addresses: dict[InstanceId, PeerAddress] = {}
        self._identity = identity
        self._keys = keys
        self._clock = clock
        self._random = random
        self._tls = tls
        self._failures: dict[InstanceId, _Failure] = {}

    async def open(self, peer: InstanceId) -> tuple[HandshakeChannel, Session]:
        """Return a connection to `peer` that has passed its handshake.

        Raises
        ------
        PeerUnavailable
            If no address is known, an attempt failed recently, or this one fails.
        """
        address = self.addresses.get(peer)
        if address is None:
            raise PeerUnavailable(f"no address of {peer} is known")
        self._check_backoff(peer, address)
        try:
            opened = await self._open(peer, address)
        except CONNECT_ERRORS as error:
            self._record_failure(peer, address, str(error) or repr(error))
            raise PeerUnavailable(f"{peer} at {address}: {error}") from error
        self._failures.pop(peer, None)
        return opened

    async def open_at(self, address: PeerAddress) -> tuple[HandshakeChannel, Session]:
        """Return a connection to whichever instance listens at `address`.

        Raises
        ------
        PeerUnavailable
            If no instance with a shared fleet key listens there.
        """
        try:
            return await self._open(None, address)
        except CONNECT_ERRORS as error:
            raise PeerUnavailable(f"nobody at {address}: {error}") from error

    async def _open(
        self, peer: InstanceId | None, address: PeerAddress
    ) -> tuple[HandshakeChannel, Session]:
        stream: trio.abc.Stream = await trio.open_tcp_stream(*address)
        try:
            set_unacknowledged_timeout(stream)
            if self._tls is not None:
                stream = trio.SSLStream(
                    stream, self._tls.client, server_hostname=address.host
                )
            channel = HandshakeChannel(stream)
            session = await open_session(channel, self._identity, self._keys)
            if peer is not None and session.peer.instance_id != peer:
                raise ProtocolError(f"{session.peer.instance_id} answers for {peer}")
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        return channel, session

    def _check_backoff(self, peer: InstanceId, address: PeerAddress) -> None:
        failure = self._failures.get(peer)
        if failure is None or failure.address != address:
            return
        if self._clock.monotonic_s() < failure.retry_at_s:
            raise PeerUnavailable(f"{peer} failed shortly before: {failure.reason}")

    def _record_failure(
        self, peer: InstanceId, address: PeerAddress, reason: str
    ) -> None:
        last = self._failures.get(peer)
        backoff_s = (
            min(last.backoff_s * 2, MAX_BACKOFF_S) if last else INITIAL_BACKOFF_S
        )
        jittered_s = backoff_s * self._random.uniform(0.5, 1.0)
        retry_at_s = self._clock.monotonic_s() + jittered_s
        self._failures[peer] = _Failure(reason, backoff_s, retry_at_s, address)


def set_unacknowledged_timeout(stream: trio.SocketStream) -> None:
    """Let the kernel close a connection whose data stays unacknowledged.

    Without this, a connection that survives a network partition would resume only
    at the kernel's next retransmission, whose backoff grows up to two minutes.
    """
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
