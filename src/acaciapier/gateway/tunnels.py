"""Connections to workers through another instance, over the network of instances.

A tunnel has one hop: the instance that serves it connects to the worker directly.
"""

import random as random_module
from collections.abc import Callable, Collection
from contextlib import aclosing

import trio

from ..core.clock import to_s
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..http.client import ConnectFailed, HttpConnection
from ..observability.metrics import Metrics
from ..wire.messages.base import Message
from ..wire.messages.tunnels import (
    OpenTunnel,
    TunnelData,
    TunnelEnded,
    TunnelOpened,
    TunnelRefused,
    TunnelWritten,
    WriteTunnel,
)
from ..wire.network import PeerNetwork
from .models import Worker
from .peers import Peers
from .supervision import TaskSupervisor
from .worker_eligibility import WorkerEligibility

WRITE_BYTES = 16_384
"""Maximum number of bytes in a message to a worker. One write may be ahead of a
heartbeat on the same connection."""

OPEN_TIMEOUT_MS = 600.0
"""Timeout of opening a tunnel: the helper's connect timeout and two round trips."""

WRITE_TIMEOUT_MS = 10_000.0
"""Timeout of one write, which waits until the worker has read earlier ones."""

OPEN_TOTAL_TIMEOUT_MS = 1_000.0
"""Timeout of all attempts to open a tunnel."""

SAMPLED_PEERS = 8
"""Instances of a large fleet that a partitioned one begins to exchange heartbeats with.
Its neighbours by name are likely to be in the same zone, and partitioned, too."""

MAX_HELPERS_ASKED = 3
UNREACHABLE_ANSWERS = 2
"""Helpers that must fail to reach a worker before it is taken to be unreachable: a
single one may just have been partitioned itself."""

HELPER_ANSWER_MS = 100.0
"""Time after which a helper is not expected to reach the worker: it takes two round
trips and about a millisecond."""

AVOIDED_S = 5.0
"""For how long a helper that may be partitioned is asked last, and its tunnels are not
used for other requests."""

UNREACHABLE, PARTITIONED = "unreachable", "partitioned"
UNKNOWN_WORKER, OVERLOADED = "unknown_worker", "overloaded"
EVACUATED = "evacuated"
"""Causes of refused tunnels."""


class TunnelRefusedError(ConnectFailed):
    """A helper opened no tunnel.

    Parameters
    ----------
    cause : str
        Cause as in `TunnelRefused`, or empty if the helper did not answer.
    reason : str
        Description for logs.
    """

    def __init__(self, cause: str, reason: str):
        super().__init__(f"{cause or 'no answer'}: {reason}")
        self.cause = cause


class WorkerUnreachable(ConnectFailed):
    """Helpers have tried to connect to the worker and failed."""


class TunnelStream:
    """Bytes to and from a worker through a helper; has the methods of a stream.

    Parameters
    ----------
    helper : InstanceId
        The instance that connects to the worker.
    number : int
        Number of the tunnel among those of this instance.
    network : PeerNetwork
        Connections to other instances.
    peers : Peers
        Tells when the helper goes down.
    """

    def __init__(
        self, helper: InstanceId, number: int, network: PeerNetwork, peers: Peers
    ):
        self.helper = helper
        self.number = number
        self._network = network
        self._peers = peers
        self._scope = trio.CancelScope()
        self._write_scopes: set[trio.CancelScope] = set()
        self._answered = trio.Event()
        self._refusal = TunnelRefusedError("", "closed here")
        self._opened = False
        self._closed = False
        self._clean_end = False
        self._end_reason = f"the tunnel through {helper} broke"
        self._put, self._received = trio.open_memory_channel[bytes](1)
        self._rest = b""

    async def run(self, message: OpenTunnel) -> None:
        """Receive what the helper sends until the tunnel ends."""
        try:
            with self._scope, self._peers.fails_when_down(self.helper):
                answer = self._network.call_stream(
                    self.helper, message, timeout_ms=OPEN_TIMEOUT_MS
                )
                async with aclosing(answer) as items:
                    async for item in items:
                        await self._handle(item)
        except PeerUnavailable as error:
            self._end_reason = str(error)
            self._refusal = TunnelRefusedError("", str(error))
        finally:
            self._put.close()
            self._answered.set()

    async def _handle(self, item: Message) -> None:
        if isinstance(item, TunnelData):
            await self._put.send(item.data)
        elif isinstance(item, TunnelOpened):
            self._opened = True
            self._answered.set()
        elif isinstance(item, TunnelRefused):
            self._refusal = TunnelRefusedError(item.cause, item.reason)
        elif isinstance(item, TunnelEnded):
            self._clean_end = item.clean
            self._end_reason = f"{self.helper}: {item.reason}"

    async def wait_opened(self) -> None:
        """Wait until the helper has connected.

        Raises
        ------
        TunnelRefusedError
            If it has not.
        """
        with trio.move_on_after(to_s(OPEN_TIMEOUT_MS)):
            await self._answered.wait()
        if not self._answered.is_set():
            raise TunnelRefusedError("", "no answer in time")
        if not self._opened:
            raise self._refusal

    @property
    def has_unread_input(self) -> bool:
        """Whether the worker sent data, or the tunnel ended."""
        statistics = self._received.statistics()
        return bool(
            self._rest
            or statistics.current_buffer_used
            or not statistics.open_send_channels
        )

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return bytes from the worker; none after it has closed cleanly.

        Raises
        ------
        trio.BrokenResourceError
            If the worker reset the connection, or the tunnel broke.
        """
        if not self._rest:
            try:
                self._rest = await self._received.receive()
            except trio.EndOfChannel:
                if self._clean_end:
                    return b""
                raise trio.BrokenResourceError(self._end_reason) from None
        data, self._rest = self._rest[:max_bytes], self._rest[max_bytes:]
        return data

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the worker, each part after the one before was written.

        Raises
        ------
        trio.BrokenResourceError
            If the connection did not take them.
        """
        for start in range(0, len(data), WRITE_BYTES):
            message = WriteTunnel(self.number, data[start : start + WRITE_BYTES])
            if not await self._write(message):
                raise trio.BrokenResourceError(self._end_reason)

    async def _write(self, message: WriteTunnel) -> bool:
        if self._closed:
            raise trio.ClosedResourceError("the tunnel was closed")
        with trio.CancelScope() as scope:
            self._write_scopes.add(scope)
            try:
                answer = await self._peers.call(self.helper, message, WRITE_TIMEOUT_MS)
                return isinstance(answer, TunnelWritten) and answer.accepted
            except PeerUnavailable as error:
                raise trio.BrokenResourceError(str(error)) from error
            finally:
                self._write_scopes.discard(scope)
        raise trio.ClosedResourceError("the tunnel was closed")

    def close(self) -> None:
        """Close immediately; the helper closes the connection to the worker."""
        self._closed = True
        self._scope.cancel()
        self._received.close()
        for scope in list(self._write_scopes):
            scope.cancel()


class TunneledConnection(HttpConnection):
    """A connection to a worker through a tunnel.

    Parameters
    ----------
    stream : TunnelStream
        The open tunnel.
    address : str
        Address of the worker and name of the helper, for error messages.
    """

    def __init__(self, stream: TunnelStream, address: str):
        super().__init__(stream, address)
        self.tunnel = stream

    def has_unread_input(self) -> bool:
        """Return whether the worker sent data, or the tunnel ended, while idle."""
        return self.tunnel.has_unread_input

    def close(self) -> None:
        """Close immediately."""
        self.tunnel.close()


class TunnelClient:
    """Opens tunnels through other instances.

    Parameters
    ----------
    network : PeerNetwork
        Connections to other instances.
    peers : Peers
        The other instances, and whether they serve tunnels.
    data_centre : str
        Data centre of this instance; helpers in it are asked first.
    random : random.Random
        Source of the choice among helpers.
    tasks : TaskSupervisor
        Runs a task for each open tunnel.
    log : callable
        Logs an event with its fields.
    metrics : Metrics
        Counts tunnels.
    eligibility : WorkerEligibility, optional
        Says which data centres are in the regions that a request may enter.
    """

    def __init__(
        self,
        network: PeerNetwork,
        peers: Peers,
        data_centre: str,
        random: random_module.Random,
        tasks: TaskSupervisor,
        log: Callable[..., None],
        metrics: Metrics,
        eligibility: WorkerEligibility | None = None,
    ):
        self._eligibility = eligibility or WorkerEligibility()
        self._network = network
        self._peers = peers
        self._data_centre = data_centre
        self._random = random
        self._tasks = tasks
        self._log = log
        self._metrics = metrics
        self._last_number = 0
        self._avoided_until_s: dict[InstanceId, float] = {}

    def avoid(self, helper: InstanceId) -> None:
        """Ask a helper last for a while."""
        self._avoided_until_s[helper] = trio.current_time() + AVOIDED_S

    def _is_avoided(self, helper: InstanceId) -> bool:
        return trio.current_time() < self._avoided_until_s.get(helper, 0.0)

    def helpers(self, allowed_regions: Collection[str] = ()) -> list[InstanceId]:
        """Return the instances to ask for a tunnel, in order."""
        records = [
            record
            for record in self._peers.tunnel_helpers()
            if self._eligibility.is_allowed(record.data_centre, allowed_regions)
        ]
        self._random.shuffle(records)
        records.sort(
            key=lambda record: (
                self._is_avoided(record.instance),
                record.data_centre != self._data_centre,
            )
        )
        return [record.instance for record in records]

    def sample_peers(self) -> list[InstanceId]:
        """Return some listed instances at random, which may be down."""
        names = [record.instance for record in self._peers.records]
        return self._random.sample(names, min(len(names), SAMPLED_PEERS))

    def is_usable(self, connection: TunneledConnection) -> bool:
        """Return whether another request may be sent through a tunnel's helper."""
        helper = connection.tunnel.helper
        return self._peers.is_up(helper) and not self._is_avoided(helper)

    async def open(
        self, worker: Worker, request: str = "", allowed_regions: Collection[str] = ()
    ) -> TunneledConnection:
        """Open a connection to a worker through another instance.

        Raises
        ------
        WorkerUnreachable
            If the helpers that were asked could not connect to the worker.
        ConnectFailed
            If no helper opened a tunnel for another reason.
        """
        helpers = self.helpers(allowed_regions)
        causes = []
        last_refusal = "no instance serves tunnels"
        give_up_at_s = trio.current_time() + to_s(OPEN_TOTAL_TIMEOUT_MS)
        for helper in helpers[:MAX_HELPERS_ASKED]:
            try:
                with trio.fail_at(give_up_at_s):
                    return await self._open_through(helper, worker, request)
            except trio.TooSlowError as error:
                raise ConnectFailed(f"{worker.address}: {last_refusal}") from error
            except TunnelRefusedError as error:
                causes.append(error.cause)
                last_refusal = str(error)
                self._metrics.worker_tunnel("refused_by_helper")
                self._log(
                    "tunnel_refused",
                    request=request,
                    worker=worker.id,
                    helper=helper,
                    reason=last_refusal,
                )
            if causes.count(UNREACHABLE) >= UNREACHABLE_ANSWERS:
                break
        confirmed = causes.count(UNREACHABLE) >= UNREACHABLE_ANSWERS
        all_failed = {UNREACHABLE, PARTITIONED}.issuperset(causes)
        if confirmed or (causes and len(causes) == len(helpers) and all_failed):
            raise WorkerUnreachable(f"{worker.address}: {last_refusal}")
        raise ConnectFailed(f"{worker.address}: {last_refusal}")

    async def _open_through(
        self, helper: InstanceId, worker: Worker, request: str
    ) -> TunneledConnection:
        self._last_number += 1
        stream = TunnelStream(helper, self._last_number, self._network, self._peers)
        message = OpenTunnel(stream.number, worker.key, request)
        asked_s = trio.current_time()
        self._tasks.start_soon(stream.run, message)
        try:
            await stream.wait_opened()
        except BaseException as error:
            stream.close()
            answered = isinstance(error, TunnelRefusedError) and error.cause
            late = trio.current_time() - asked_s > to_s(HELPER_ANSWER_MS)
            if error.cause == PARTITIONED if answered else late:
                self.avoid(helper)
            raise
        self._metrics.worker_tunnel("opened")
        self._log(
            "tunnel_opened",
            request=request,
            worker=worker.id,
            helper=helper,
            tunnel=stream.number,
        )
        return TunneledConnection(stream, f"{worker.address} through {helper}")
