"""Records which software version began a stream, where any instance can find it.

A caller that resumes a stream may reach any instance, within milliseconds, and the
first one may be dead. Other instances therefore hold the version of each stream, and
while several versions serve, before the caller gets the first event.
"""

import math
from collections.abc import Callable, Iterable, Iterator

import trio

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
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
from .record_holders import COPIES, new_holders, ranked_holders
from .request_state import RequestFailed
from .software_versions import (
    MAX_RETENTION_MS,
    RETENTION_MS,
    UNKNOWN_VERSION,
    BegunStream,
    BegunStreams,
    ServingVersions,
)
from .split_exceptions import SplitExceptions
from .stream_conclusions import FoundStream, StreamConclusions
from .supervision import TaskSupervisor
from .version_assignment import VersionAssignment

RANK_KEY = "stream-versions"
"""Key by which instances are ranked to select those that may hold records."""

MAX_HOLDERS = 8
"""Instances among which the records are distributed. In a large fleet, more would cost
a connection from each instance to each of them."""

SHARE_TIMEOUT_MS = 60.0
"""Longest delay of a first event by an unresponsive holder."""

FIND_TIMEOUT_MS = 150.0
"""Timeout of asking for a record; an answer takes a few milliseconds."""

CALL_TIMEOUT_MS = 1_000.0
"""Timeout of a copy that is made while the stream already goes on."""

MAX_COPIED_STREAMS = 10_000
"""Maximum number of records that are copied when a holder is lost, the latest first;
about 2 MB."""

COPY_BATCH = 200
"""Records in one message."""

UNKNOWN_RETRY_MS = 1_000.0
"""Retry delay if a version is unknown: by then an instance that was unresponsive
answers again, or is known to be down."""

MAX_ATTEMPT_CHARS = 256
"""Longest id of an attempt that a caller can name when it resumes a stream."""


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
    route_services : callable
        Returns the services to which a host and a target lead, or led within a time.
    routes_known_ms : callable
        Returns for how long this instance has known a configuration.
    assignment : VersionAssignment, optional
        Tells which versions began streams without a record.
    exceptions : SplitExceptions, optional
        Keeps the streams that began at another version than assigned.
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
        route_services: Callable[[str, str, float], Iterable[str]] = lambda *_: (),
        routes_known_ms: Callable[[], float] = lambda: math.inf,
        assignment: VersionAssignment | None = None,
        exceptions: SplitExceptions | None = None,
    ):
        self._exceptions = exceptions
        self._conclusions = StreamConclusions(
            peers, serving, list_is_current, assignment, exceptions
        )
        self._assignment = assignment
        self._peers = peers
        self._serving = serving
        self._log = log
        self._tasks = tasks
        self._list_is_current = list_is_current
        self._followers = followers
        self._without_records = without_records
        self._route_services = route_services
        self._routes_known_ms = routes_known_ms
        self._streams = BegunStreams(clock)
        """Those that this instance forwards, and those that it holds for others."""
        self._live = BegunStreams(clock)
        """Those that this instance forwards and that have not come to their ends."""
        self._mixed: set[ServiceName] = set()
        self._stopping = False

    async def record(self, stream: BegunStream, life_ms: float = RETENTION_MS) -> None:
        """Record a stream before its first event is forwarded.

        Waits for another instance to hold the record only while several versions
        serve, and for a bounded time. A version that is not found is not guessed.

        Parameters
        ----------
        stream : BegunStream
            The stream.
        life_ms : float, optional
            Longest time for which its caller resumes it.
        """
        if not 0 < len(stream.attempt) <= MAX_ATTEMPT_CHARS:
            return  # A caller cannot name it later.
        self._streams.add(stream, max(RETENTION_MS, life_ms))
        self._live.add(stream, max(RETENTION_MS, life_ms))
        holders = self._holders(stream.attempt)
        several = len(self._serving.of(stream.service)) > 1
        if not several and self._list_is_current():
            message = StreamsBegun((self._entry(stream),))
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

    async def record_exception(self, stream: BegunStream) -> None:
        """Record a stream that does not begin at its assigned version.

        Raises
        ------
        RequestFailed
            If the store does not have it, so that another version could be concluded.
        """
        if self._exceptions is None or not await self._exceptions.record(stream):
            raise RequestFailed("version_not_recorded")

    def invalidate(self, stream: BegunStream) -> None:
        """Withdraw a version that was recorded for an attempt and may be wrong."""
        unknown = stream._replace(software_version=UNKNOWN_VERSION)
        self._streams.add(unknown)
        self._live.add(unknown)
        message = StreamsBegun((self._entry(unknown),))
        for instance in self._possible_holders():
            self._tasks.start_soon(self._send_copies, instance, message)

    def end(self, workspace: str, attempt: AttemptId) -> None:
        """Record that a stream has come to its end, so that nobody takes it up."""
        self._live.remove(workspace, attempt)

    def restore(self, stream: BegunStream, keep_ms: float) -> None:
        """Add a stream that was in progress when all instances were killed."""
        self._streams.add(stream, keep_ms)

    def live_where_mixed(self) -> dict[BegunStream, float]:
        """Return the streams in progress at services with several versions.

        They are in their order, with the times in ms for which they are to be kept.
        """
        mixed = self._mixed_services()
        latest = self._live.latest(MAX_COPIED_STREAMS if mixed else 0)
        return {
            stream: self._live.left_ms(stream)
            for stream in reversed(latest)
            if stream.service in mixed
        }

    def hand_over(self) -> None:
        """Copy all records to instances that remain, since this one stops."""
        self._stopping = True
        self._tasks.start_soon(self._copy_records, None)

    def holder_lost(self, instance: InstanceId) -> None:
        """Replace the copies at an instance that is down, stops or has started anew."""
        self._tasks.start_soon(self._copy_records, instance)

    async def find(
        self,
        workspace: str,
        attempt: AttemptId | None,
        services: list[ServiceName],
        life_ms: float = RETENTION_MS,
        request: tuple[str, str] = ("", ""),
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
        request : tuple of str, optional
            Host and target of the caller's request, to find what its route was before.

        Raises
        ------
        Refused
            If the version is not known and cannot be concluded.
        """
        stream = self._streams.find(workspace, attempt) if attempt else None
        answers: list[StreamFound] = []
        known: set[BegunStream] = set()
        if stream is None:
            answers = await self._ask(workspace, attempt, services, life_ms, request)
            known = {_from_entry(answer.stream) for answer in answers if answer.stream}
            if len(known) == 1:
                (stream,) = known
        recorded = stream is not None
        concluded = None
        one_service = self._has_one_service(services, answers, life_ms, request)
        if not recorded and not known and one_service:
            concluded = await self._conclusions.find(
                workspace, attempt, services[0], answers, life_ms
            )
            stream = concluded and concluded.stream
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
        if recorded:
            # A later try may name the same attempt.
            self._streams.add(stream, max(RETENTION_MS, life_ms))
            self._live.add(stream, max(RETENTION_MS, life_ms))
        return concluded or FoundStream(stream, recorded)

    def workers_changed(self) -> None:
        """Log the services that have workers of several versions, when they do."""
        mixed = self._mixed_services()
        for service in mixed - self._mixed:
            versions = sorted(self._serving.of(service))
            self._log(
                "software_versions_mixed", service=service, software_versions=versions
            )
        self._mixed = mixed

    def _mixed_services(self) -> set[ServiceName]:
        services = self._serving.services
        return {one for one in services if len(self._serving.of(one)) > 1}

    async def handle_begun(self, peer: InstanceId, message: StreamsBegun) -> None:
        """Keep the records of a peer."""
        for entry in message.streams:
            self._streams.add(_from_entry(entry), entry.keep_ms or RETENTION_MS)

    async def answer_find(self, peer: InstanceId, message: FindStream) -> StreamFound:
        """Return the record of an attempt, if there is one here."""
        stream = None
        if message.attempt:
            attempt = AttemptId(message.attempt)
            stream = self._streams.find(message.workspace, attempt)
        within_ms = min(max(RETENTION_MS, message.within_ms), MAX_RETENTION_MS)
        versions = tuple(
            ServiceVersions(
                service, tuple(sorted(self._serving.of(service, within_ms)))
            )
            for service in message.services
        )
        entry = None if stream is None else self._entry(stream)
        services = self._route_services(message.host, message.target, within_ms)
        known_ms = self._serving.known_ms
        current = known_ms > 0 and self._list_is_current()
        return StreamFound(
            entry,
            versions,
            current,
            known_ms,
            within_ms,
            tuple(sorted(services)),
            self._routes_known_ms(),
            None if self._assignment is None else self._assignment.record.generation,
        )

    def _entry(self, stream: BegunStream) -> StreamEntry:
        """Return the record of a stream as it is sent to peers."""
        return StreamEntry(*stream, self._streams.left_ms(stream))

    def _possible_holders(self) -> set[InstanceId]:
        """Return the other instances that may have the record of any stream."""
        instances = set(self._candidates()) | set(self._followers())
        if not self._peers.large_fleet:
            instances.update(self._peers.up_instances())
        return instances - {self._peers.own, *self._without_records()}

    def _candidates(self) -> list[InstanceId]:
        """Return the other instances that may hold records."""
        excluded = {self._peers.own, *self._without_records()}
        ranked = self._peers.rank(RANK_KEY, not self._stopping)[:MAX_HOLDERS]
        return [instance for instance in ranked if instance not in excluded]

    def _holders(self, attempt: AttemptId) -> list[InstanceId]:
        """Return the instances that should hold an attempt's record, best first."""
        return ranked_holders(attempt, self._candidates())

    async def _copy_records(self, lost: InstanceId | None) -> None:
        """Copy the latest records to the instances that now should hold them.

        Parameters
        ----------
        lost : InstanceId or None
            The instance whose copies are replaced; None if those here are handed over.
        """
        candidates = self._candidates()
        copied = 0
        latest = self._streams.latest(MAX_COPIED_STREAMS)
        for start in range(0, len(latest), COPY_BATCH):
            entries: dict[InstanceId, list[StreamEntry]] = {}
            for stream in latest[start : start + COPY_BATCH]:
                for holder in new_holders(stream.attempt, candidates, lost):
                    entries.setdefault(holder, []).append(self._entry(stream))
            for holder, copies in entries.items():
                copied += len(copies)
                message = StreamsBegun(tuple(copies))
                self._tasks.start_soon(self._send_copies, holder, message)
            await trio.lowlevel.checkpoint()
        if copied:
            self._log("stream_versions_copied", lost=lost, copies=copied)

    async def _send_copies(self, holder: InstanceId, message: StreamsBegun) -> None:
        try:
            await self._peers.call(holder, message, CALL_TIMEOUT_MS)
        except PeerUnavailable as error:
            self._log(
                "stream_version_not_held",
                peer=holder,
                reason=str(error),
                copies=len(message.streams),
            )

    async def _share(
        self, stream: BegunStream, candidates: Iterator[InstanceId], held: trio.Event
    ) -> None:
        """Make one copy of a record, at the first candidate that takes it."""
        message = StreamsBegun((self._entry(stream),))
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
        self,
        workspace: str,
        attempt: AttemptId | None,
        services: list[ServiceName],
        life_ms: float,
        request: tuple[str, str],
    ) -> list[StreamFound]:
        """Ask the other instances for the record of an attempt.

        Return all answers, or those that came before an answer with the record.
        """
        host, target = request
        message = FindStream(
            attempt or "", workspace, tuple(services), life_ms, host, target
        )
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
            for instance in self._possible_holders():
                nursery.start_soon(ask, instance)
        return answers

    def _has_one_service(
        self,
        services: list[ServiceName],
        answers: list[StreamFound],
        life_ms: float,
        request: tuple[str, str],
    ) -> bool:
        """Return whether the caller's route can only have led to one service."""
        led_to = {*services, *self._route_services(*request, life_ms)}
        known_ms = self._routes_known_ms()
        for answer in answers:
            led_to.update(answer.route_services)
            known_ms = max(known_ms, min(answer.routes_known_ms, answer.within_ms))
        return len(led_to) == 1 and known_ms >= life_ms


def _from_entry(entry: StreamEntry) -> BegunStream:
    return BegunStream(
        AttemptId(entry.attempt),
        entry.workspace,
        ServiceName(entry.service),
        SoftwareVersion(entry.software_version),
    )
