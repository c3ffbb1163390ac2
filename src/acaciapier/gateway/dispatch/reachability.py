"""Reachability of one service's workers, as the fleet's instances report it.

A failed connection concerns one instance and one worker, and excludes the worker for
that instance only. It counts against the worker itself once the instance has reached
another worker: an instance that is partitioned from all workers reaches none.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from .health import FIRST_EXCLUSION_MS, MAX_EXCLUSION_MS
from .slot_requests import SlotReservation

MIN_WITNESSES = 2
"""Number of instances that must confirm that a worker is unreachable before it is
excluded for all; one may have lost only its own link to it."""

PARTITION_FAILURES = 2
"""Number of failures in a row after which an instance may be partitioned."""

PARTITION_PROBE_S = 1.0
"""Time between the requests that an instance sends to workers while it reaches none:
it learns within this time that its links are back."""

OVERRIDING_WITNESSES = 4
"""Number of such instances from which the exclusion also holds for instances that
reached the worker recently."""

RECENT_REACH_S = 1.0
"""Time for which an instance that reached a worker is still sent there while fewer
instances confirm that it is unreachable."""

RETURN_GAP_S = 1.0
"""Time without a success, at a worker or at all of them, after which the next one shows
that what all instances failed to reach is back."""

ALL_INSTANCES = "all"
"""Logged in place of an instance if an exclusion holds for all of them."""


@dataclass(eq=False)
class _Exclusion:
    """An exclusion, whose duration doubles until the worker is reached."""

    duration_ms: float = 0.0
    until_s: float = 0.0
    failed_s: float = float("-inf")

    def extend(self, now_s: float) -> None:
        doubled_ms = max(FIRST_EXCLUSION_MS, 2 * self.duration_ms)
        self.duration_ms = min(doubled_ms, MAX_EXCLUSION_MS)
        self.until_s = now_s + self.duration_ms / 1_000.0
        self.failed_s = now_s

    def end(self) -> None:
        self.duration_ms = self.until_s = 0.0


@dataclass(eq=False)
class _Link(_Exclusion):
    """What an instance experienced at a worker."""

    reached_s: float = float("-inf")


@dataclass(eq=False)
class _WorkerState(_Exclusion):
    """What all instances experienced at a worker."""

    reached_s: float = float("-inf")
    witnesses: set[str] = field(default_factory=set)
    """Instances that failed since anybody reached it, and reached another since."""
    links: dict[str, _Link] = field(default_factory=dict)
    """By instance."""


@dataclass(eq=False)
class _InstanceState:
    """What an instance experienced at all workers of the service."""

    failures: int = 0
    """Number since it last reached a worker."""
    failed_first_s: float = 0.0
    tried_s: float = 0.0
    """When the slot of its last failure was granted."""
    failed_at: set[str] = field(default_factory=set)
    """Workers at which it failed since it last reached one."""
    probed_s: float = float("-inf")
    """When it was last granted an excluded worker while it reached none."""
    recovered_s: float = float("-inf")
    """When it last reached a worker after a failure."""


class Reachability:
    """Decides which workers are excluded for which instances.

    Parameters
    ----------
    log : callable, optional
        Writes a log event, given as a kind and fields.
    """

    def __init__(self, log: Callable[..., None] = lambda kind, **fields: None):
        self._log = log
        self._workers: dict[str, _WorkerState] = {}
        self._instances: dict[str, _InstanceState] = {}
        self._reached_s = float("-inf")
        self._returned_s = float("-inf")
        """When a worker was first reached after none had been for a while."""
        self._turned_away_until_s: dict[tuple[str, str], float] = {}
        """By instance and worker."""

    def turn_away(self, instance: str, key: str, until_s: float) -> None:
        """Record that a worker wants no requests from an instance until then."""
        self._turned_away_until_s[instance, key] = until_s

    def is_turned_away(self, instance: str, key: str, now_s: float) -> bool:
        """Return whether a worker wants no requests from an instance now."""
        return self._turned_away_until_s.get((instance, key), now_s) > now_s

    def record_reached(
        self, instance: str, key: str, granted_s: float, now_s: float
    ) -> bool:
        """Record that an instance reached a worker, with a slot granted at `granted_s`.

        Returns
        -------
        bool
            Whether the time that the answer took tells of the worker: the instance
            failed at no worker meanwhile.
        """
        if now_s - self._reached_s >= RETURN_GAP_S:
            self._returned_s = now_s
        self._reached_s = now_s
        worker = self._workers.setdefault(key, _WorkerState())
        worker.end()
        if now_s - worker.reached_s >= RETURN_GAP_S:
            self._reopen(worker, now_s)
        worker.witnesses.clear()
        worker.reached_s = now_s
        link = worker.links.setdefault(instance, _Link())
        link.end()
        link.reached_s = now_s
        state = self._instances.get(instance)
        if state is None:
            return True
        if state.failures:
            self._record_recovery(instance, state, now_s)
            return False
        return granted_s >= state.recovered_s

    def record_unreachable(
        self, instance: str, key: str, granted_s: float, now_s: float
    ) -> None:
        """Record that an instance did not reach a worker; exclude it for that instance.

        Slots that were granted before the last failure add nothing to it.
        """
        worker = self._workers.setdefault(key, _WorkerState())
        link = worker.links.setdefault(instance, _Link())
        state = self._instances.setdefault(instance, _InstanceState())
        if link.duration_ms and granted_s < link.failed_s:
            return
        if not state.failures:
            state.failed_first_s = now_s
        state.tried_s = granted_s
        state.failures += 1
        state.failed_at.add(key)
        link.extend(now_s)
        self._log_exclusion(key, instance, link)
        if worker.duration_ms and state.failures == 1:
            self._exclude_for_all(key, worker, now_s)

    def wait_ms(
        self,
        instance: str,
        key: str,
        reservations: Iterable[SlotReservation],
        now_s: float,
    ) -> float:
        """Return for how long a worker is not open to an instance.

        After an exclusion, one request at a time probes the worker. `reservations` are
        the slots in use at it.
        """
        until_s = now_s
        if self._turned_away_until_s:
            turned_away_s = self._turned_away_until_s.get((instance, key), now_s)
            until_s = max(until_s, turned_away_s)
        worker = self._workers.get(key)
        if worker is not None:
            link = worker.links.get(instance)
            if link is not None and link.duration_ms:
                until_s = max(until_s, self._link_until_s(instance, link))
            concerned = worker.duration_ms and not _is_exempt(worker, link, now_s)
            if concerned:
                until_s = max(until_s, worker.until_s)
            if until_s <= now_s and (
                (link is not None and _is_probed(link, reservations, instance))
                or (concerned and _is_probed(worker, reservations))
            ):
                return FIRST_EXCLUSION_MS
        return (until_s - now_s) * 1_000.0

    def record_granted(self, instance: str, key: str, now_s: float) -> None:
        """Record that an instance was granted a slot at a worker."""
        worker = self._workers.get(key)
        link = worker.links.get(instance) if worker is not None else None
        if link is not None and link.duration_ms and self.may_be_partitioned(instance):
            self._instances[instance].probed_s = now_s

    def may_be_partitioned(self, instance: str) -> bool:
        """Return whether an instance failed repeatedly and has reached none since."""
        state = self._instances.get(instance)
        return state is not None and state.failures >= PARTITION_FAILURES

    def is_partitioned(self, instance: str) -> bool:
        """Return whether others reach workers while an instance reaches none.

        Sends from before a return of the workers do not show this.
        """
        if not self.may_be_partitioned(instance):
            return False
        state = self._instances[instance]
        if self._returned_s > state.tried_s:
            return False
        recent_s = max(state.failed_first_s, state.tried_s - RETURN_GAP_S)
        return self._reached_s > recent_s

    def keep_workers(self, keys: Collection[str]) -> None:
        """Remove the state of all other workers."""
        for key in self._workers.keys() - keys:
            del self._workers[key]
        for state in self._instances.values():
            state.failed_at.intersection_update(keys)
        self._turned_away_until_s = {
            (instance, key): until_s
            for (instance, key), until_s in self._turned_away_until_s.items()
            if key in keys
        }

    def remove_instance(self, instance: str) -> None:
        """Remove what an instance reported that went down."""
        self._instances.pop(instance, None)
        for worker in self._workers.values():
            worker.links.pop(instance, None)
            worker.witnesses.discard(instance)

    def _link_until_s(self, instance: str, link: _Link) -> float:
        """Return when the exclusion of a worker for an instance ends.

        An instance that reaches no worker probes those at which it failed in turn.
        """
        if not self.may_be_partitioned(instance):
            return link.until_s
        state = self._instances[instance]
        longest_s = PARTITION_PROBE_S * len(state.failed_at)
        until_s = min(link.until_s, link.failed_s + longest_s)
        return max(until_s, state.probed_s + PARTITION_PROBE_S)

    def _record_recovery(
        self, instance: str, state: _InstanceState, now_s: float
    ) -> None:
        """Judge an instance's last failures, now that it has reached a worker.

        After a partition they told of the instance, so the workers that others reached
        meanwhile are open to it again. Otherwise they tell of the workers.
        """
        partitioned = (
            self.may_be_partitioned(instance)
            and now_s - state.failed_first_s >= PARTITION_PROBE_S
        )
        for key in state.failed_at:
            worker = self._workers.get(key)
            link = worker.links.get(instance) if worker is not None else None
            if worker is None or link is None or not link.duration_ms:
                continue
            if worker.reached_s < link.failed_s:
                worker.witnesses.add(instance)
                self._exclude_for_all(key, worker, now_s)
            elif partitioned:
                link.until_s = now_s
        state.failures = 0
        state.failed_at.clear()
        state.recovered_s = now_s

    def _exclude_for_all(self, key: str, worker: _WorkerState, now_s: float) -> None:
        if len(worker.witnesses) >= MIN_WITNESSES and worker.until_s <= now_s:
            worker.extend(now_s)
            self._log_exclusion(key, ALL_INSTANCES, worker)

    def _reopen(self, worker: _WorkerState, now_s: float) -> None:
        """Let each instance probe a worker that nobody had reached for a while."""
        for instance, link in worker.links.items():
            link.until_s = min(link.until_s, now_s)
            if (state := self._instances.get(instance)) is not None:
                state.probed_s = float("-inf")

    def _log_exclusion(self, key: str, instance: str, exclusion: _Exclusion) -> None:
        self._log(
            "worker_excluded",
            worker=key,
            instance=instance,
            reason="unreachable",
            excluded_ms=exclusion.duration_ms,
        )


def _is_exempt(worker: _WorkerState, link: _Link | None, now_s: float) -> bool:
    """Return whether an instance may ignore that a worker is excluded for all."""
    if link is None or link.duration_ms:
        return False
    if len(worker.witnesses) >= OVERRIDING_WITNESSES:
        return False
    return now_s - link.reached_s <= RECENT_REACH_S


def _is_probed(
    exclusion: _Exclusion,
    reservations: Iterable[SlotReservation],
    instance: str | None = None,
) -> bool:
    """Return whether a request, of `instance` if given, was sent since a failure."""
    if not exclusion.duration_ms:
        return False
    return any(
        reservation.granted_s >= exclusion.failed_s
        and not reservation.started
        and instance in (None, reservation.owner)
        for reservation in reservations
    )
