"""Which software version begins a stream, as a function of its attempt's id.

While several versions serve, the ids of attempts are split between them. A caller that
resumes a stream brings back the id of the attempt that began it, so that the version is
known without a record of the stream, even after all instances were killed at once.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from ..policy.subset import rendezvous_rank
from .models import AttemptId, ServiceName, SoftwareVersion
from .software_versions import FORGET_AFTER_MS

UNITS = 16
"""Units that a split distributes; a version with workers gets at least one."""

MAX_SHARE_RATIO = 1.5
"""A split is kept while no version's share is off by this factor. A change makes the
ids ambiguous that it moves."""

MIN_KEEP_MS = 5_000
"""Time for which a split is kept while all its versions have usable workers."""

CHANGE_MARGIN_MS = 15_000.0
"""Time after which no instance uses a replaced split: heartbeats tell of the new one
within seconds, and clocks may be seconds apart."""


class VersionSplit(NamedTuple):
    """Units of the versions of one service, sorted by version."""

    units: tuple[tuple[SoftwareVersion, int], ...]

    @classmethod
    def single(cls, version: SoftwareVersion) -> "VersionSplit":
        """Return the split that gives everything to one version."""
        return cls(((version, UNITS),))

    @classmethod
    def by_capacity(cls, capacities: Mapping[SoftwareVersion, float]) -> "VersionSplit":
        """Return the split in which the versions' units follow their capacities."""
        total = sum(capacities.values())
        return cls(
            tuple(
                (version, max(1, round(UNITS * own / total)))
                for version, own in sorted(capacities.items())
            )
        )

    @property
    def versions(self) -> frozenset[SoftwareVersion]:
        """The versions that begin streams."""
        return frozenset(version for version, _ in self.units)

    def version_of(self, attempt: AttemptId) -> SoftwareVersion:
        """Return the version that begins the stream of an attempt.

        By rendezvous hashing, a change of units moves only ids of the versions that
        lose some, and only to those that gain some.
        """
        if len(self.units) == 1:
            return self.units[0][0]
        _, version = max(
            (rendezvous_rank(attempt, f"{version}\x00{unit}"), version)
            for version, units in self.units
            for unit in range(units)
        )
        return version

    def fits(self, capacities: Mapping[SoftwareVersion, float]) -> bool:
        """Return whether the split may be kept for versions of these capacities."""
        if self.versions != capacities.keys():
            return False
        best = dict(VersionSplit.by_capacity(capacities).units)
        return all(
            best[version] < MAX_SHARE_RATIO * units
            and units < MAX_SHARE_RATIO * best[version]
            for version, units in self.units
        )


@dataclass(frozen=True)
class ServiceSplits:
    """The split of a service and those that it replaced."""

    current: VersionSplit
    former: Mapping[VersionSplit, int] = field(default_factory=dict)
    """Unix time in ms at which each was replaced."""
    life_ms: float = 0.0
    """Longest time for which callers have resumed streams of the service."""

    @property
    def replaced_ms(self) -> int:
        """Unix time in ms of the last change; 0 if none is remembered."""
        return max(self.former.values(), default=0)

    def replaced_by(self, split: VersionSplit, now_ms: int) -> "ServiceSplits":
        """Return the splits with a new current one."""
        former = {**self.former, self.current: now_ms}
        return replace(self, current=split, former=former).pruned(now_ms)

    def merged(self, other: "ServiceSplits", now_ms: int) -> "ServiceSplits":
        """Return these splits with what only `other`, which is older, tells."""
        former = {other.current: now_ms, **other.former}
        for split, replaced_ms in self.former.items():
            former[split] = max(replaced_ms, former.get(split, 0))
        if other.current in self.former:
            former[other.current] = self.former[other.current]
        life_ms = max(self.life_ms, other.life_ms)
        return replace(self, former=former, life_ms=life_ms).pruned(now_ms)

    def pruned(self, now_ms: int) -> "ServiceSplits":
        """Return the splits without those that no resumed stream depends on."""
        oldest_ms = now_ms - FORGET_AFTER_MS
        former = {
            split: replaced_ms
            for split, replaced_ms in self.former.items()
            if replaced_ms >= oldest_ms and split != self.current
        }
        return replace(self, former=former)

    def version_of(
        self, attempt: AttemptId, within_ms: float, now_ms: int
    ) -> SoftwareVersion | None:
        """Return the version that began an attempt's stream within a time.

        None if splits that were in force since then disagree on it.
        """
        oldest_ms = now_ms - within_ms - CHANGE_MARGIN_MS
        versions = {self.current.version_of(attempt)}
        for split, replaced_ms in self.former.items():
            if replaced_ms >= oldest_ms:
                versions.add(split.version_of(attempt))
        return versions.pop() if len(versions) == 1 else None


class SplitGeneration(NamedTuple):
    """Place of a record in the order of all; the term is that of the store."""

    term: int = 0
    number: int = 0


@dataclass(frozen=True)
class SplitRecord:
    """The splits of all services, as they are kept in the store."""

    services: Mapping[ServiceName, ServiceSplits] = field(default_factory=dict)
    within_ms: float = 0.0
    """For how long before the writing streams began by these splits only."""
    generation: SplitGeneration = field(default_factory=SplitGeneration)


def merged_splits(
    newer: Mapping[ServiceName, ServiceSplits],
    older: Mapping[ServiceName, ServiceSplits],
    now_ms: int,
) -> dict[ServiceName, ServiceSplits]:
    """Return newer splits with what only older ones tell."""
    merged = {**older, **newer}
    for service in newer.keys() & older.keys():
        merged[service] = newer[service].merged(older[service], now_ms)
    return merged


def updated_splits(
    known: Mapping[ServiceName, ServiceSplits],
    capacities: Mapping[ServiceName, Mapping[SoftwareVersion, float]],
    mixed: Collection[ServiceName],
    singles: Mapping[ServiceName, VersionSplit],
    lives_ms: Mapping[ServiceName, float],
    adjustable: Collection[ServiceName],
    now_ms: int,
) -> dict[ServiceName, ServiceSplits]:
    """Return the splits that fit the workers.

    Parameters
    ----------
    known : mapping
        The splits in force.
    capacities : mapping
        Capacities of the versions with usable workers, by service.
    mixed : collection of ServiceName
        Services that several versions serve, or served lately.
    singles : mapping
        Splits of services that a single version served until now.
    lives_ms : mapping
        Longest time for which callers resume streams of a service. One that is lowered
        still holds for streams that began before.
    adjustable : collection of ServiceName
        Services whose splits are changed even if all their versions have workers.
    now_ms : int
        Unix time.
    """
    updated = dict(known)
    for service, by_version in capacities.items():
        splits = known.get(service)
        if not by_version or (splits is None and service not in mixed):
            continue
        best = VersionSplit.by_capacity(by_version)
        if splits is None:
            single = singles.get(service)
            former = {} if single in (None, best) else {single: now_ms}
            splits = ServiceSplits(best, former)
        elif not splits.current.versions <= by_version.keys() or (
            service in adjustable
            and now_ms - splits.replaced_ms >= MIN_KEEP_MS
            and not splits.current.fits(by_version)
        ):
            splits = splits.replaced_by(best, now_ms)
        life_ms = max(splits.life_ms, lives_ms.get(service, 0.0))
        updated[service] = replace(splits, life_ms=life_ms)
    return updated
