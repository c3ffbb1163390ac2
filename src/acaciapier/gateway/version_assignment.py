"""Assigns new streams to software versions by the splits that the store holds."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import trio

from ..core.clock import Clock, epoch_ms, to_s
from .catalogue import Catalogue
from .dispatch.refusal import Refused
from .models import AttemptId, ServiceName, SoftwareVersion
from .request_state import RESUMED_WITHIN_TIMEOUTS
from .software_versions import MAX_RETENTION_MS, RETENTION_MS
from .version_splits import (
    CHANGE_MARGIN_MS,
    ServiceSplits,
    SplitRecord,
    VersionSplit,
    merged_splits,
    updated_splits,
)

MAX_ISOLATED_MS = 10_000.0
"""Longest time for which an instance begins streams by splits that neither the store
nor another instance confirms."""

MIN_LIFE_MS = 20_000.0
"""Least time for which the callers of a service count as resuming a stream."""

MAX_SPLIT_WAIT_MS = 1_000.0
"""Longest delay of a stream that no version may begin until a split is written."""

NO_SPLIT_RETRY_MS = 500.0
"""Retry delay if none was written; a retry has another id and may be assigned to
another version."""

CapacitiesOf = Callable[[ServiceName], Mapping[SoftwareVersion, float] | None]


class VersionAssignment:
    """The splits that this instance knows, and what follows from them.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    lacks_records : callable
        Returns whether an instance of a build without records of streams is listed.
        The dispatchers then choose the versions.
    store_is_reachable : callable
        Returns whether this instance reads from the store.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        clock: Clock,
        log: Callable[..., None],
        lacks_records: Callable[[], bool] = lambda: False,
        store_is_reachable: Callable[[], bool] = lambda: True,
    ):
        self._store_is_reachable = store_is_reachable
        self.record = SplitRecord()
        """The newest record that is known to be in the store."""
        self.splits: Mapping[ServiceName, ServiceSplits] = {}
        """Those of the record, with what only earlier ones told."""
        self._catalogue = catalogue
        self._clock = clock
        self._log = log
        self._lacks_records = lacks_records
        self._singles: dict[ServiceName, VersionSplit] = {}
        """Splits of services that a single version served when last seen."""
        self._known_before_ms = 0.0
        self._since_s = clock.monotonic_s()
        self._changed = trio.Event()
        self._waiting: dict[
            trio.CancelScope, tuple[ServiceName, AttemptId, SoftwareVersion]
        ] = {}
        """Assigned streams that wait for a slot."""
        self._confirmed_s = clock.monotonic_s()

    @property
    def known_ms(self) -> float:
        """For how long all streams have begun by the known splits."""
        elapsed_ms = (self._clock.monotonic_s() - self._since_s) * 1_000.0
        return self._known_before_ms + elapsed_ms

    @property
    def may_deviate(self) -> bool:
        """Whether a stream may begin at another version, as the store can record it."""
        return self._store_is_reachable()

    def add_known(self, before_ms: float) -> None:
        """Record that streams also began by splits in a time before the start."""
        self._known_before_ms = max(self._known_before_ms, before_ms)

    def record_free_choice(self) -> None:
        """Record that an instance may begin streams at any version at present."""
        self._known_before_ms = 0.0
        self._since_s = self._clock.monotonic_s()

    def confirm(self) -> None:
        """Record that another instance, or the store, would tell of newer splits."""
        self._confirmed_s = self._clock.monotonic_s()

    def adopt(self, record: SplitRecord) -> bool:
        """Take over a record of the store; return whether it is newer.

        What only a former one told is kept, as a restored store may have lost it.
        """
        if record.generation <= self.record.generation:
            return False
        if record.within_ms == 0:
            self.record_free_choice()
        self.record = record
        now_ms = epoch_ms(self._clock.now())
        self.splits = merged_splits(record.services, self.splits, now_ms)
        self._log(
            "version_splits",
            term=record.generation.term,
            number=record.generation.number,
            within_ms=record.within_ms,
            splits={
                service: dict(splits.current.units)
                for service, splits in self.splits.items()
            },
        )
        for scope, (service, attempt, version) in self._waiting.items():
            split = self._split_of(service)
            if split is not None and split.version_of(attempt) != version:
                scope.cancel()
        self._wake()
        return True

    def workers_changed(self) -> None:
        """Update what depends on the listed workers."""
        for service in self._catalogue.serving.services:
            versions = self._catalogue.serving.of(service)
            if len(versions) == 1 and "" not in versions:
                self._singles[service] = VersionSplit.single(*versions)
        self._wake()

    def proposed(
        self, now_ms: int, capacities: CapacitiesOf
    ) -> dict[ServiceName, ServiceSplits]:
        """Return the splits that should be in force, given the usable workers.

        Parameters
        ----------
        now_ms : int
            Unix time.
        capacities : callable
            Returns the capacities of a service's versions where this instance is to
            adjust the split to them; None elsewhere.
        """
        lives_ms = self._lives_ms()
        by_service: dict[ServiceName, Mapping[SoftwareVersion, float]] = {}
        mixed, adjustable = set(), set()
        for service in lives_ms:
            versions = self._catalogue.serving.of(service)
            if "" in versions:
                continue
            if len(versions) > 1:
                mixed.add(service)
            elif service not in self.splits:
                continue
            known = capacities(service)
            if known is None:
                known = self._listed_slots(service)
            else:
                adjustable.add(service)
            by_service[service] = known
        return updated_splits(
            self.splits, by_service, mixed, self._singles, lives_ms, adjustable, now_ms
        )

    def must_bind(self, service: ServiceName) -> bool:
        """Return whether a dispatcher must grant new streams their versions only.

        With one version in service they may also wait for a worker that joins.
        """
        splits = self.splits.get(service)
        versions = set() if splits is None else splits.current.versions
        return len(versions | self._catalogue.serving.of(service)) > 1

    async def assign(
        self, service: ServiceName, attempt: AttemptId
    ) -> SoftwareVersion | None:
        """Return the version that begins the stream of an attempt; None for any.

        Waits for a split with a version that has workers.

        Raises
        ------
        Refused
            If there is none in time.
        """
        with trio.move_on_after(to_s(MAX_SPLIT_WAIT_MS)):
            while True:
                if not attempt or self._lacks_records():
                    return None
                usable = {
                    worker.software_version
                    for worker in self._catalogue.workers_of(service)
                }
                if "" in usable:
                    return None
                split = self._split_of(service)
                if service in self.splits and self._is_isolated():
                    raise Refused("isolated", NO_SPLIT_RETRY_MS)
                version = None if split is None else split.version_of(attempt)
                if not usable or version in usable:
                    return version
                await self._changed.wait()
        self._log("version_split_missing", request=attempt, service=service)
        raise Refused("no_version_split", NO_SPLIT_RETRY_MS)

    def conclude(
        self, service: ServiceName, attempt: AttemptId
    ) -> SoftwareVersion | None:
        """Return the version that began an attempt's stream, if it follows from them.

        Parameters
        ----------
        service : ServiceName
            The service that the stream began at.
        attempt : AttemptId
            The attempt.
        """
        splits = self.splits.get(service)
        if splits is None:
            return None
        life_ms = max(splits.life_ms, self._lives_ms().get(service, 0.0))
        if self.known_ms < life_ms + CHANGE_MARGIN_MS:
            return None
        if "" in self._catalogue.serving.of(service, life_ms):
            return None
        return splits.version_of(attempt, life_ms, epoch_ms(self._clock.now()))

    def known_level_ms(self) -> float:
        """Return `known_ms` in steps, as a change of the record costs a write."""
        for level_ms in (MAX_RETENTION_MS, RETENTION_MS):
            if self.known_ms >= level_ms:
                return level_ms
        return 0.0

    @contextmanager
    def cancelled_on_move(
        self, service: ServiceName, attempt: AttemptId, version: SoftwareVersion
    ) -> Iterator[None]:
        """Cancel what runs within when an attempt moves to another version."""
        with trio.CancelScope() as scope:
            self._waiting[scope] = service, attempt, version
            try:
                yield
            finally:
                del self._waiting[scope]

    async def wait_for_change(self, timeout_ms: float) -> None:
        """Wait until a split may have to be written, or for a time."""
        with trio.move_on_after(to_s(timeout_ms)):
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _is_isolated(self) -> bool:
        elapsed_ms = (self._clock.monotonic_s() - self._confirmed_s) * 1_000.0
        return elapsed_ms > MAX_ISOLATED_MS

    def _split_of(self, service: ServiceName) -> VersionSplit | None:
        splits = self.splits.get(service)
        if splits is not None:
            return splits.current
        versions = self._catalogue.serving.of(service)
        if len(versions) == 1 and "" not in versions:
            return VersionSplit.single(*versions)
        return self._singles.get(service)

    def _listed_slots(self, service: ServiceName) -> dict[SoftwareVersion, float]:
        slots: dict[SoftwareVersion, float] = {}
        for worker in self._catalogue.workers_of(service):
            version = worker.software_version
            slots[version] = slots.get(version, 0.0) + max(1, worker.slots)
        return slots

    def _lives_ms(self) -> dict[ServiceName, float]:
        """Return for how long callers resume the streams of each service."""
        configuration = self._catalogue.configuration
        lives_ms: dict[ServiceName, float] = {}
        for route in configuration.routes if configuration is not None else ():
            if not route.resumes_streams:
                continue
            life_ms = max(MIN_LIFE_MS, RESUMED_WITHIN_TIMEOUTS * route.timeout_ms)
            for service, _ in route.services:
                lives_ms[service] = max(life_ms, lives_ms.get(service, 0.0))
        return lives_ms
