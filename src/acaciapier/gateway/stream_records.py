"""Records which software version began a stream, where any instance can find it.

A caller that takes a stream up again may reach any instance, within milliseconds, and
the first one may be dead. While several versions serve a service, the version of each
stream is therefore held by other instances before the caller gets the first event.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

import trio

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..policy.subset import rendezvous_rank
from ..wire.messages.streams import (
    FindStream,
    ServiceVersions,
    StreamEntry,
    StreamFound,
    StreamsBegun,
)
from .dispatch.refusal import Refused
from .models import AttemptId, ServiceName, SoftwareVersion
from .peers import Peers
from .software_versions import BegunStream, BegunStreams, ServingVersions
from .supervision import TaskSupervisor

RANK_KEY = "stream-versions"
"""Key by which instances are ranked to select those that may hold records."""

MAX_HOLDERS = 8
"""Instances among which the records are distributed. In a large fleet, more would cost
a connection from each instance to each of them."""

COPIES = 2
"""Copies of a record at other instances. They are chosen by the attempt, so that a few
simultaneous crashes lose the records of a few streams only."""

SHARE_TIMEOUT_MS = 60.0
"""Longest delay of a first event by an unresponsive holder."""

FIND_TIMEOUT_MS = 150.0
"""Timeout of asking for a record; an answer takes a few milliseconds."""

CALL_TIMEOUT_MS = 1_000.0
"""Timeout of a copy that is made while the stream already goes on."""

UNKNOWN_RETRY_MS = 1_000.0
"""Retry delay if a version is unknown: by then an instance that was unresponsive
answers again, or is known to be down."""

MAX_BATCH = 500
"""Records in one message; about 50 kB."""


class StreamRecords:
    """Shares the software versions of streams, and finds them.

    Parameters
    ----------
    peers : Peers
        The other instances.
    serving : ServingVersions
        Versions of the listed workers.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    tasks : TaskSupervisor
        Runs the calls that outlast the wait of a first event.
    list_is_current : callable
        Returns whether this instance reads the list of workers from the store.
    followers : callable
        Returns the instances that follow the store for a large fleet.
    """

    def __init__(
        self,
        peers: Peers,
        serving: ServingVersions,
        clock: Clock,
        log: Callable[..., None],
        tasks: TaskSupervisor,
        list_is_current: Callable[[], bool] = lambda: True,
        followers: Callable[[], Iterable[InstanceId]] = lambda: (),
    ):
        self._peers = peers
        self._serving = serving
        self._log = log
        self._tasks = tasks
        self._list_is_current = list_is_current
        self._followers = followers
        self._begun_here = BegunStreams(clock)
        self._held = BegunStreams(clock)
        self._mixed: dict[ServiceName, frozenset[SoftwareVersion]] = {}

    @property
    def count(self) -> int:
        """Number of streams whose versions this instance keeps."""
        return len(self._begun_here) + len(self._held)

    async def record(self, stream: BegunStream) -> None:
        """Record a stream before its first event is forwarded.

        Waits for another instance to hold the record only if several versions may
        serve, and for a bounded time: a version that nobody knows is never guessed.
        """
        self._begun_here.add(stream)
        several = len(self._serving.of(stream.service)) > 1
        if not several and self._list_is_current():
            return
        held = trio.Event()
        candidates = iter(self._holders(stream.attempt))
        for _ in range(COPIES):
            self._tasks.start_soon(self._share, stream, candidates, held)
        with trio.move_on_after(to_s(SHARE_TIMEOUT_MS)):
            await held.wait()
            return
        self._log("stream_version_not_shared", request=stream.attempt)

    def invalidate(self, stream: BegunStream) -> None:
        """Withdraw a version that was recorded for an attempt and may be wrong.

        A second version under the same attempt makes it unknown at each holder.
        """
        self._begun_here.add(stream)
        for holder in self._holders(stream.attempt)[:COPIES]:
            self._peers.send(holder, StreamsBegun((StreamEntry(*stream),)))

    async def find(
        self, workspace: str, attempt: AttemptId | None, services: list[ServiceName]
    ) -> BegunStream:
        """Return the stream that an attempt began, with its service and version.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        attempt : AttemptId or None
            Attempt that brought the first event; None if the caller did not name it.
        services : list of ServiceName
            Services to which the caller's route leads.

        Raises
        ------
        Refused
            If the version is not known and cannot be concluded.
        """
        stream = attempt and self._find_here(workspace, attempt)
        only = services[0] if len(services) == 1 else None
        if not stream and only and self._serving.complete and self._list_is_current():
            stream = _conclude(workspace, attempt, only, self._serving.of(only))
        if not stream:
            stream, versions = await self._ask(workspace, attempt, services)
            if not stream and only:
                stream = _conclude(workspace, attempt, only, versions)
        if not stream:
            raise Refused("software_version_unknown", UNKNOWN_RETRY_MS)
        if stream.service not in services:
            raise Refused("service_changed", UNKNOWN_RETRY_MS)
        return stream

    def workers_changed(self) -> None:
        """Share the streams that began here before a service had several versions."""
        for service in self._serving.services:
            versions = self._serving.of(service)
            before = self._mixed.get(service, frozenset())
            if len(versions) < 2:
                self._mixed.pop(service, None)
            elif versions != before:
                self._mixed[service] = versions
                self._log(
                    "software_versions_mixed",
                    service=service,
                    software_versions=sorted(versions),
                )
                if not before:
                    self._share_all(service)

    async def handle_begun(self, peer: InstanceId, message: StreamsBegun) -> None:
        """Keep the records of a peer."""
        for entry in message.streams:
            self._held.add(_from_entry(entry))

    async def answer_find(self, peer: InstanceId, message: FindStream) -> StreamFound:
        """Return the record of an attempt, if there is one here."""
        stream = None
        if message.attempt:
            attempt = AttemptId(message.attempt)
            stream = self._find_here(message.workspace, attempt)
        versions = tuple(
            ServiceVersions(service, tuple(sorted(self._serving.of(service))))
            for service in message.services
        )
        entry = None if stream is None else StreamEntry(*stream)
        return StreamFound(entry, versions, self._list_is_current())

    def _find_here(self, workspace: str, attempt: AttemptId) -> BegunStream | None:
        begun = self._begun_here.find(workspace, attempt)
        return begun or self._held.find(workspace, attempt)

    def _candidates(self) -> list[InstanceId]:
        """Return the other instances that may hold records."""
        ranked = self._peers.rank(RANK_KEY, True)[:MAX_HOLDERS]
        return [instance for instance in ranked if instance != self._peers.own]

    def _holders(self, attempt: AttemptId) -> list[InstanceId]:
        """Return the instances that should hold an attempt's record, best first."""
        return sorted(
            self._candidates(),
            key=lambda instance: rendezvous_rank(attempt, instance),
            reverse=True,
        )

    async def _share(
        self, stream: BegunStream, candidates: Iterator[InstanceId], held: trio.Event
    ) -> None:
        """Make one copy of a record, at the first candidate that takes it."""
        message = StreamsBegun((StreamEntry(*stream),))
        for instance in candidates:
            try:
                await self._peers.call(instance, message, CALL_TIMEOUT_MS)
            except PeerUnavailable as error:
                self._log("stream_version_not_held", peer=instance, reason=str(error))
                continue
            held.set()
            return

    def _share_all(self, service: str) -> None:
        """Send all records of streams of a service that began here to their holders."""
        by_holder: dict[InstanceId, list[StreamEntry]] = defaultdict(list)
        for stream in self._begun_here.of_service(service):
            for holder in self._holders(stream.attempt)[:COPIES]:
                by_holder[holder].append(StreamEntry(*stream))
        for holder, entries in by_holder.items():
            for start in range(0, len(entries), MAX_BATCH):
                batch = tuple(entries[start : start + MAX_BATCH])
                self._peers.send(holder, StreamsBegun(batch))

    async def _ask(
        self, workspace: str, attempt: AttemptId | None, services: list[ServiceName]
    ) -> tuple[BegunStream | None, frozenset[SoftwareVersion]]:
        """Ask the other instances for the record of an attempt.

        Returns
        -------
        stream : BegunStream or None
            The record, if an instance has it.
        versions : frozenset of SoftwareVersion
            Versions that serve the first service as far as anybody knows; empty if no
            instance knows for certain.
        """
        asked = set(self._candidates()) | set(self._followers())
        if not self._peers.large_fleet:
            asked.update(self._peers.up_instances())
        asked.discard(self._peers.own)
        message = FindStream(attempt or "", workspace, tuple(services))
        answers: list[StreamFound] = []

        async def ask(instance: InstanceId) -> None:
            try:
                answer = await self._peers.call(instance, message, FIND_TIMEOUT_MS)
            except PeerUnavailable as error:
                self._log("stream_version_not_asked", peer=instance, reason=str(error))
                return
            if isinstance(answer, StreamFound):
                answers.append(answer)
                if answer.stream is not None:
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for instance in asked:
                nursery.start_soon(ask, instance)
        found = {answer.stream for answer in answers if answer.stream is not None}
        if len(found) == 1:
            return _from_entry(found.pop()), frozenset()
        if found or not self._known_to_all(answers):
            return None, frozenset()
        versions = set(self._serving.of(services[0]))
        for answer in answers:
            for listed in answer.versions:
                if listed.service == services[0]:
                    versions.update(listed.software_versions)
        return None, frozenset(map(SoftwareVersion, versions))

    def _known_to_all(self, answers: list[StreamFound]) -> bool:
        """Return whether the answers name every version that may have begun a stream.

        They do if an instance reads the list from the store, or, in an outage of it, if
        most instances answered: streams began only at workers that some of them list.
        """
        if self._list_is_current() or any(answer.current for answer in answers):
            return True
        return 2 * (1 + len(answers)) > 1 + len(self._peers.records)


def _conclude(
    workspace: str,
    attempt: AttemptId | None,
    service: ServiceName,
    versions: frozenset[SoftwareVersion],
) -> BegunStream | None:
    """Return the stream of an attempt if only one version can have begun it."""
    if len(versions) != 1:
        return None
    return BegunStream(attempt or AttemptId(""), workspace, service, *versions)


def _from_entry(entry: StreamEntry) -> BegunStream:
    return BegunStream(
        AttemptId(entry.attempt),
        entry.workspace,
        ServiceName(entry.service),
        SoftwareVersion(entry.software_version),
    )
