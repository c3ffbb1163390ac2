"""Data centres whose workers must get nothing new, as operators asked in the store."""

import math
from collections.abc import Callable, Iterable

from ..core.clock import Clock, to_s
from ..core.ids import DataCentreId
from ..platform import evacuations as evacuation_format
from ..platform.store import Snapshot
from ..wire.messages.evacuations import Evacuated
from .models import NO_POSITION, StorePosition

UNAVAILABLE_WAIT_MS = 400.0
"""Time for which an instance that starts asks further sources after one that did not
tell: a store that misses one call, or a peer that just started."""

DEFAULT_KEEP_MS = 5_000.0
"""How long an evacuation that a restored store lacks is kept: the restore window of the
worker table with the default heartbeats."""


class Evacuations:
    """Holds which data centres are evacuated, at the newest known store position.

    This answers requests that would still go to a data centre that operators empty.
    Data comes from the store and from heartbeats; older data never replaces newer. An
    evacuation that a restored store lacks holds until its writers have had time to
    write it again. One that the copy still shows holds until it is removed there.

    Parameters
    ----------
    clock : Clock
        Source of time.
    enabled : bool
        Whether evacuations are followed; if not, none is ever known.
    keep_ms : float
        How long evacuations that a restored store lacks are kept.
    log : callable
        Called with an event name and its fields.
    """

    def __init__(
        self,
        clock: Clock,
        enabled: bool = False,
        keep_ms: float = DEFAULT_KEEP_MS,
        log: Callable[..., None] = lambda kind, **fields: None,
    ):
        self.enabled = enabled
        self.position = NO_POSITION
        self.on_change: Callable[[bool], None] = lambda from_store: None
        """Called after a change, with whether it came from the store."""
        self.on_readmitted: Callable[[DataCentreId], None] = lambda data_centre: None
        """Called for each data centre whose evacuation ends, before `on_change`."""
        self._clock = clock
        self._keep_ms = keep_ms
        self._log = log
        self._listed: frozenset[DataCentreId] = frozenset()
        self._kept_until_s: dict[DataCentreId, float] = {}
        """Evacuations that a restored store lacks, until its writers were heard."""
        self._active: frozenset[DataCentreId] = frozenset()
        self._unavailable_since_s = math.inf
        self._unreadable: set[str] = set()

    @property
    def settled(self) -> bool:
        """Whether the evacuations are known, or were asked for in vain for a while."""
        if not self.enabled or self.position > NO_POSITION:
            return True
        waited_s = self._clock.monotonic_s() - self._unavailable_since_s
        return waited_s >= to_s(UNAVAILABLE_WAIT_MS)

    @property
    def data_centres(self) -> frozenset[DataCentreId]:
        """The evacuated data centres; reading them changes nothing."""
        if not self._kept_until_s:
            return self._active
        now_s = self._clock.monotonic_s()
        kept = self._kept_until_s.items()
        return self._listed.union(name for name, until_s in kept if until_s > now_s)

    def record_unavailable(self) -> None:
        """Record that a source did not tell; an instance that starts waits a little."""
        now_s = self._clock.monotonic_s()
        self._unavailable_since_s = min(self._unavailable_since_s, now_s)

    def apply(self, snapshot: Snapshot, full: bool) -> None:
        """Apply a list of the objects in the store (`full`), or changes to them."""
        listed = set() if full else set(self._listed)
        for stored in snapshot.objects:
            try:
                data_centre = evacuation_format.decode_evacuation(stored.name)
            except ValueError as error:
                if stored.name not in self._unreadable:
                    self._unreadable.add(stored.name)
                    self._log("entry_unreadable", name=stored.name, reason=str(error))
                continue
            if stored.deleted:
                listed.discard(data_centre)
            else:
                listed.add(data_centre)
        self._update(snapshot.position, listed, "store")

    def shared(self) -> Evacuated | None:
        """Return what heartbeats hand on; None if nothing is known."""
        if not self.enabled or self.position == NO_POSITION:
            return None
        self._remove_expired()
        return Evacuated(
            *self.position, tuple(sorted(self._listed)), tuple(self._kept_until_s)
        )

    def merge(self, peer: str, evacuated: Evacuated | None) -> None:
        """Apply what a peer handed on; earlier builds hand on nothing."""
        if evacuated is None or not self.enabled:
            return
        position = StorePosition(evacuated.term, evacuated.revision)
        if self.position == NO_POSITION:
            self._keep(map(DataCentreId, evacuated.kept))
        listed = map(DataCentreId, evacuated.data_centres)
        self._update(position, listed, f"peer {peer}")

    def _update(
        self, position: StorePosition, listed: Iterable[DataCentreId], origin: str
    ) -> None:
        if position <= self.position:
            return
        if position.term > self.position.term and self.position != NO_POSITION:
            self._keep(self._active)
        self.position = position
        self._listed = frozenset(listed)
        self._activate(origin)

    def _keep(self, data_centres: Iterable[DataCentreId]) -> None:
        until_s = self._clock.monotonic_s() + to_s(self._keep_ms)
        for data_centre in data_centres:
            self._kept_until_s.setdefault(data_centre, until_s)

    def _remove_expired(self) -> None:
        now_s = self._clock.monotonic_s()
        kept = {
            data_centre: until_s
            for data_centre, until_s in self._kept_until_s.items()
            if until_s > now_s
        }
        if kept.keys() != self._kept_until_s.keys():
            self._kept_until_s = kept
            self._activate("lapse")

    def _activate(self, origin: str) -> None:
        """Put the known evacuations into force, and log what changes."""
        for data_centre in self._listed:
            self._kept_until_s.pop(data_centre, None)
        before, self._active = self._active, self._listed.union(self._kept_until_s)
        for kind, changed in (
            ("data_centre_evacuated", self._active - before),
            ("data_centre_readmitted", before - self._active),
        ):
            for data_centre in sorted(changed):
                self._log(
                    kind,
                    data_centre=data_centre,
                    term=self.position.term,
                    revision=self.position.revision,
                    origin=origin,
                )
        for data_centre in before - self._active:
            self.on_readmitted(data_centre)
        if self._active != before:
            self.on_change(origin == "store")
