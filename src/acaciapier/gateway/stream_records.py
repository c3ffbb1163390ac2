"""Records which software version began a stream, where any instance can find it.

A caller that resumes a stream may reach any instance, within milliseconds, and the
first one may be dead. Other instances therefore hold the version of each stream, and
while several versions serve, before the caller gets the first event.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

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
from .software_versions import (
    RETENTION_MS,
    UNKNOWN_VERSION,
    BegunStream,
    BegunStreams,
    ServingVersions,
)
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

MAX_ATTEMPT_CHARS = 256
"""Longest id of an attempt that a caller can name when it resumes a stream."""


@dataclass(frozen=True, slots=True)
class FoundStream:
    """A stream that a caller resumes, and whether its version was recorded."""

    stream: BegunStream
    recorded: bool
    """False if its version was concluded, since only one can have begun it."""


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
    without_records : callable
        Returns the instances of earlier builds, which keep no records.
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
        without_records: Callable[[], Iterable[InstanceId]] = lambda: (),
    ):
        self._peers = peers
        self._serving = serving
        self._log = log
        self._tasks = tasks
        self._list_is_current = list_is_current
        self._followers = followers
        self._without_records = without_records
        self._streams = BegunStreams(clock)
        """Those that this instance forwards, and those that it holds for others."""
        self._mixed: set[ServiceName] = set()

    async def record(self, stream: BegunStream) -> None:
        """Record a stream before its first event is forwarded.

        Waits for another instance to hold the record only while several versions
        serve, and for a bounded time. A version that is not found is not guessed.
        """
        if not 0 < len(stream.attempt) <= MAX_ATTEMPT_CHARS:
            return  # A caller cannot name it later.
        self._streams.add(stream)
        holders = self._holders(stream.attempt)
        several = len(self._serving.of(stream.service)) > 1
        if not several and self._list_is_current():
            message = StreamsBegun((StreamEntry(*stream),))
            for holder in holders[:COPIES]:
                self._peers.send(holder, message)
            return
        held = trio.Event()
        candidates = iter(holders)
        for _ in holders[:COPIES]:
            self._tasks.start_soon(self._share, stream, candidates, held)
        if not holders:
            return
        with trio.move_on_after(to_s(SHARE_TIMEOUT_MS)):
            await held.wait()
            return
        self._log("stream_version_not_shared", request=stream.attempt)

    def invalidate(self, stream: BegunStream) -> None:
        """Withdraw a version that was recorded for an attempt and may be wrong."""
        unknown = stream._replace(software_version=UNKNOWN_VERSION)
        self._streams.add(unknown)
        for holder in self._holders(stream.attempt)[:COPIES]:
            self._peers.send(holder, StreamsBegun((StreamEntry(*unknown),)))

    async def find(
        self,
        workspace: str,
        attempt: AttemptId | None,
        services: list[ServiceName],
        life_ms: float = RETENTION_MS,
    ) -> FoundStream:
        """Return the stream that an attempt began, with its service and version.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        attempt : AttemptId or None
            Attempt that brought the first event; None if the caller did not name it.
        services : list of ServiceName
            Services to which the caller's route leads.
        life_ms : float, optional
            Longest time for which a caller resumes a stream.

        Raises
        ------
        Refused
            If the version is not known and cannot be concluded.
        """
        stream = self._streams.find(workspace, attempt) if attempt else None
        answers: list[StreamFound] = []
        entries: set[StreamEntry] = set()
        if stream is None:
            answers = await self._ask(workspace, attempt, services)
            entries = {answer.stream for answer in answers if answer.stream is not None}
            if len(entries) == 1:
                stream = _from_entry(*entries)
        recorded = stream is not None
        if not recorded and not entries and len(services) == 1:
            stream = self._conclude(workspace, attempt, services[0], answers, life_ms)
        if stream is None or stream.software_version == UNKNOWN_VERSION:
            self._log(
                "stream_not_found",
                resumes=attempt,
                services=services,
                answers=len(answers),
                recorded=recorded,
            )
            raise Refused("software_version_unknown", UNKNOWN_RETRY_MS)
        if stream.service not in services:
            raise Refused("service_changed", UNKNOWN_RETRY_MS)
        return FoundStream(stream, recorded)

    def workers_changed(self) -> None:
        """Log the services that have workers of several versions, when they do."""
        mixed = {
            service
            for service in self._serving.services
            if len(self._serving.of(service)) > 1
        }
        for service in mixed - self._mixed:
            versions = sorted(self._serving.of(service))
            self._log(
                "software_versions_mixed", service=service, software_versions=versions
            )
        self._mixed = mixed

    async def handle_begun(self, peer: InstanceId, message: StreamsBegun) -> None:
        """Keep the records of a peer."""
        for entry in message.streams:
            self._streams.add(_from_entry(entry))

    async def answer_find(self, peer: InstanceId, message: FindStream) -> StreamFound:
        """Return the record of an attempt, if there is one here."""
        stream = None
        if message.attempt:
            attempt = AttemptId(message.attempt)
            stream = self._streams.find(message.workspace, attempt)
        versions = tuple(
            ServiceVersions(service, tuple(sorted(self._serving.of(service))))
            for service in message.services
        )
        entry = None if stream is None else StreamEntry(*stream)
        known_ms = self._serving.known_ms
        current = known_ms > 0 and self._list_is_current()
        return StreamFound(entry, versions, current, known_ms)

    def _candidates(self) -> list[InstanceId]:
        """Return the other instances that may hold records."""
        excluded = {self._peers.own, *self._without_records()}
        ranked = self._peers.rank(RANK_KEY, True)[:MAX_HOLDERS]
        return [instance for instance in ranked if instance not in excluded]

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
                self._log(
                    "stream_version_not_held",
                    request=stream.attempt,
                    peer=instance,
                    reason=str(error),
                )
                continue
            held.set()
            return

    async def _ask(
        self, workspace: str, attempt: AttemptId | None, services: list[ServiceName]
    ) -> list[StreamFound]:
        """Ask the other instances for the record of an attempt.

        Return all answers, or those that came before an answer with the record.
        """
        asked = set(self._candidates()) | set(self._followers())
        if not self._peers.large_fleet:
            asked.update(self._peers.up_instances())
        asked -= {self._peers.own, *self._without_records()}
        message = FindStream(attempt or "", workspace, tuple(services))
        answers: list[StreamFound] = []

        async def ask(instance: InstanceId) -> None:
            try:
                answer = await self._peers.call(instance, message, FIND_TIMEOUT_MS)
            except PeerUnavailable as error:
                self._log(
                    "stream_version_not_asked",
                    resumes=attempt,
                    peer=instance,
                    reason=str(error),
                )
                return
            if isinstance(answer, StreamFound):
                answers.append(answer)
                if answer.stream is not None:
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for instance in asked:
                nursery.start_soon(ask, instance)
        return answers

    def _conclude(
        self,
        workspace: str,
        attempt: AttemptId | None,
        service: ServiceName,
        answers: list[StreamFound],
        life_ms: float,
    ) -> BegunStream | None:
        """Return the stream of an attempt if only one version can have begun it.

        Streams begin only at workers that some instance lists. So either most instances
        must have answered, or one of them that reads the list from the store, and has
        known it for as long as callers resume a stream.
        """
        known_ms = [answer.known_ms for answer in answers if answer.current]
        if self._list_is_current():
            known_ms.append(self._serving.known_ms)
        most = 2 * (1 + len(answers)) > 1 + len(self._peers.records)
        if not most and (not answers or max(known_ms, default=0.0) < life_ms):
            return None
        versions = set(self._serving.of(service))
        for answer in answers:
            for listed in answer.versions:
                if listed.service == service:
                    versions.update(map(SoftwareVersion, listed.software_versions))
        if len(versions) != 1:
            return None
        return BegunStream(attempt or AttemptId(""), workspace, service, versions.pop())


def _from_entry(entry: StreamEntry) -> BegunStream:
    return BegunStream(
        AttemptId(entry.attempt),
        entry.workspace,
        ServiceName(entry.service),
        SoftwareVersion(entry.software_version),
    )
