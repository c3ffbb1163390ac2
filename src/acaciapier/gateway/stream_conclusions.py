"""Concludes which software version began a stream that no instance has recorded."""

from collections.abc import Callable
from dataclasses import dataclass

from ..wire.messages.streams import StreamFound
from .models import AttemptId, ServiceName, SoftwareVersion
from .peers import Peers
from .software_versions import (
    MAX_RETENTION_MS,
    RETENTION_MS,
    BegunStream,
    ServingVersions,
)
from .split_exceptions import SplitExceptions
from .version_assignment import VersionAssignment


@dataclass(frozen=True, slots=True)
class FoundStream:
    """A stream that a caller resumes, and whether its version was recorded."""

    stream: BegunStream
    recorded: bool
    """False if its version was concluded, since only one can have begun it."""
    concluded_from: str | None = None
    """``current_list``, ``most_lists`` or ``splits``; None if it was recorded."""
    known_ms: float | None = None
    """For how long the list or the splits have been known from which it was."""


class StreamConclusions:
    """Concludes versions from what all instances that answered know.

    Parameters
    ----------
    peers : Peers
        The other instances.
    serving : ServingVersions
        Versions of the listed workers.
    list_is_current : callable
        Returns whether this instance reads the list of workers from the store.
    assignment : VersionAssignment or None
        The splits by which streams begin.
    exceptions : SplitExceptions or None
        The streams that began otherwise.
    """

    def __init__(
        self,
        peers: Peers,
        serving: ServingVersions,
        list_is_current: Callable[[], bool],
        assignment: VersionAssignment | None,
        exceptions: SplitExceptions | None,
    ):
        self._exceptions = exceptions
        self._peers = peers
        self._serving = serving
        self._list_is_current = list_is_current
        self._assignment = assignment

    async def find(
        self,
        workspace: str,
        attempt: AttemptId | None,
        service: ServiceName,
        answers: list[StreamFound],
        life_ms: float,
    ) -> FoundStream | None:
        """Return the stream of an attempt if only one version can have begun it.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        attempt : AttemptId or None
            The attempt; None if the caller did not name it.
        service : ServiceName
            The only service to which the caller's route can have led.
        answers : list of StreamFound
            What other instances answered.
        life_ms : float
            Longest time for which a caller resumes a stream.
        """
        request = workspace, attempt, service, answers, life_ms
        found = self._from_lists(*request)
        if found is not None:
            return found
        found = self._from_splits(*request[:-1])
        if found is None or self._exceptions is None:
            return found
        read, exception = await self._exceptions.find(workspace, found.stream.attempt)
        if exception is not None:
            return FoundStream(exception, True)
        return found if read else None

    def _from_lists(
        self,
        workspace: str,
        attempt: AttemptId | None,
        service: ServiceName,
        answers: list[StreamFound],
        life_ms: float,
    ) -> FoundStream | None:
        """Return the stream of an attempt if only one version can have begun it.

        Streams begin only at workers that some instance lists. So one of the lists must
        have been known for as long as callers resume a stream, and either be read from
        the store or, if no list is, be among those of most instances.
        """
        own_ms = self._serving.known_ms
        lists = [
            (min(answer.known_ms, answer.within_ms), answer.current)
            for answer in answers
        ]
        lists.append(
            (min(own_ms, MAX_RETENTION_MS), own_ms > 0 and self._list_is_current())
        )
        current_ms = [known_ms for known_ms, current in lists if current]
        most = 2 * len(lists) > 1 + len(self._peers.records)
        if not most and not (answers and current_ms):
            return None
        known_ms = max(current_ms or [known_ms for known_ms, _ in lists])
        if known_ms < life_ms:
            return None
        versions = set(self._serving.of(service, max(RETENTION_MS, life_ms)))
        for answer in answers:
            for listed in answer.versions:
                if listed.service == service:
                    versions.update(map(SoftwareVersion, listed.software_versions))
        if len(versions) != 1 or "" in versions:
            return None
        return FoundStream(
            BegunStream(attempt or AttemptId(""), workspace, service, versions.pop()),
            recorded=False,
            concluded_from="current_list" if current_ms else "most_lists",
            known_ms=known_ms,
        )

    def _from_splits(
        self,
        workspace: str,
        attempt: AttemptId | None,
        service: ServiceName,
        answers: list[StreamFound],
    ) -> FoundStream | None:
        """Return the stream of an attempt if the splits tell which version began it.

        Most instances must have answered, or one beside this one while it reads the
        store, so that one that is cut off does not rely on outdated splits.
        """
        known = self._assignment
        if known is None or not attempt:
            return None
        most = 2 * (1 + len(answers)) > 1 + len(self._peers.records)
        if not most and not (answers and self._list_is_current()):
            return None
        generations = [answer.splits for answer in answers if answer.splits is not None]
        if any(tuple(one) > known.record.generation for one in generations):
            return None
        version = known.conclude(service, attempt)
        if version is None:
            return None
        return FoundStream(
            BegunStream(attempt, workspace, service, version),
            recorded=False,
            concluded_from="splits",
            known_ms=known.known_ms,
        )
