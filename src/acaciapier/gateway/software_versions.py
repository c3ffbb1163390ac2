"""Software versions that serve a service, and the versions that began streams.

What two software versions write does not fit together, and workers do not check it. A
stream that its caller resumes may go on only at the version that began it.
"""

from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice
from typing import NamedTuple

from ..core.clock import Clock, to_s
from .models import AttemptId, ServiceName, SoftwareVersion, Worker

RETENTION_MS = 60_000.0
"""Time for which a version counts as serving after its last worker was removed, and
least time for which the version of a stream is kept: twice the default deadline of a
request."""

MAX_RETENTION_MS = 600_000.0
"""Longest such times, for routes with long timeouts."""

FORGET_AFTER_MS = MAX_RETENTION_MS + RETENTION_MS
"""Time after which an instance forgets what served: by then it is not in the store's
record any more."""

UNKNOWN_VERSION = SoftwareVersion("\x00unknown")
"""Version of a stream that no worker may resume; no worker has it."""

MAX_STREAMS = 50_000
"""Maximum number of streams whose versions an instance keeps; about 10 MB."""


class BegunStream(NamedTuple):
    """The software version of the workers that wrote the events of one attempt."""

    attempt: AttemptId
    workspace: str
    """Workspace of the caller; empty on a route without access keys."""
    service: ServiceName
    software_version: SoftwareVersion


class ServingVersions:
    """Software versions of the workers of each service, at present and lately.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._first_s: float | None = None
        self._listed: set[tuple[str, str]] = set()
        self._removed_s: dict[tuple[str, str], float] = {}
        self._known_before_ms = 0.0

    @property
    def known_ms(self) -> float:
        """For how long the versions that serve have been known; 0 if they are not."""
        if self._first_s is None:
            return 0.0
        elapsed_ms = (self._clock.monotonic_s() - self._first_s) * 1_000.0
        return self._known_before_ms + elapsed_ms

    @property
    def services(self) -> set[ServiceName]:
        """Services that have listed workers."""
        return {ServiceName(service) for service, _ in self._listed}

    def update(self, workers: Iterable[Worker]) -> None:
        """Record the listed workers."""
        now_s = self._clock.monotonic_s()
        if self._first_s is None:
            self._first_s = now_s
        listed = {(worker.service, worker.software_version) for worker in workers}
        for removed in self._listed - listed:
            self._removed_s[removed] = now_s
        self._listed = listed
        oldest_s = now_s - to_s(FORGET_AFTER_MS)
        for version, removed_s in list(self._removed_s.items()):
            if version in listed or removed_s < oldest_s:
                del self._removed_s[version]

    def add_former(self, versions: Iterable[tuple[str, str]]) -> None:
        """Record services and versions that served until now, if not listed."""
        now_s = self._clock.monotonic_s()
        for version in versions:
            if version not in self._listed:
                self._removed_s.setdefault(version, now_s)

    def add_known(self, before_ms: float) -> None:
        """Record that all versions are known that served in a time before the start."""
        self._known_before_ms = before_ms

    def within(self, within_ms: float) -> frozenset[tuple[str, str]]:
        """Return the services and versions that serve, or did within a time."""
        oldest_s = self._clock.monotonic_s() - to_s(within_ms)
        lately = {
            version
            for version, removed_s in self._removed_s.items()
            if removed_s >= oldest_s
        }
        return frozenset(self._listed | lately)

    def of(
        self, service: str, within_ms: float = RETENTION_MS
    ) -> frozenset[SoftwareVersion]:
        """Return the versions whose workers serve a service, or did within a time."""
        return frozenset(
            SoftwareVersion(version)
            for name, version in self.within(within_ms)
            if name == service
        )


class BegunStreams:
    """Bounded table of the software versions of streams.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._streams: OrderedDict[tuple[str, AttemptId], tuple[float, BegunStream]] = (
            OrderedDict()
        )
        """Expiry and stream by workspace and attempt, those added last at the end."""

    def __len__(self) -> int:
        return len(self._streams)

    def add(self, stream: BegunStream, keep_ms: float = RETENTION_MS) -> None:
        """Add a stream, and remove those that have expired or are too many.

        The version of an attempt that is added with two versions is unknown.
        """
        key = stream.workspace, stream.attempt
        now_s = self._clock.monotonic_s()
        known_until_s, known = self._streams.pop(key, (now_s, stream))
        if known_until_s >= now_s and known != stream:
            stream = stream._replace(software_version=UNKNOWN_VERSION)
        until_s = now_s + to_s(min(keep_ms, MAX_RETENTION_MS))
        self._streams[key] = max(until_s, known_until_s), stream
        while len(self._streams) > MAX_STREAMS or self._first_until_s() < now_s:
            self._streams.popitem(last=False)

    def remove(self, workspace: str, attempt: AttemptId) -> None:
        """Remove the stream of an attempt."""
        self._streams.pop((workspace, attempt), None)

    def find(self, workspace: str, attempt: AttemptId) -> BegunStream | None:
        """Return the stream of an attempt, if it has not expired."""
        until_s, stream = self._streams.get((workspace, attempt), (0.0, None))
        return stream if until_s >= self._clock.monotonic_s() else None

    def left_ms(self, stream: BegunStream) -> float:
        """Return the time until the record of a stream expires."""
        until_s, _ = self._streams.get((stream.workspace, stream.attempt), (0.0, None))
        return max(0.0, (until_s - self._clock.monotonic_s()) * 1_000.0)

    def latest(self, limit: int) -> list[BegunStream]:
        """Return up to `limit` streams, those that were added last first."""
        now_s = self._clock.monotonic_s()
        return [
            stream
            for until_s, stream in islice(reversed(self._streams.values()), limit)
            if until_s >= now_s
        ]

    def _first_until_s(self) -> float:
        return next(iter(self._streams.values()))[0]
