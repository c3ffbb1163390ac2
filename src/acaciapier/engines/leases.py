"""Leases of engines: one holder each, safe by version and not by time.

A lease is an object of the kind `engine-leases` named after its engine. Whoever
changes it by a conditional update holds it, and the object's version is the
fencing number of the orders that follow. Time decides only when somebody else
tries: a lease that was seen unchanged for `lease_ms` on the observer's own clock.
The object also keeps the highest configuration number that was ordered, so that
a holder with an older configuration cannot revert an engine.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from ..core.clock import Clock, to_s
from .models import ControlLimits, Holder

LEASE_KIND = "engine-leases"


class LeaseBody(msgspec.Struct, frozen=True):
    """Value of a lease object.

    Parameters
    ----------
    holder : str or None
        Name of the holder; None after a release. Only the holder writes its own
        name, so a write whose answer was lost is recognised by it.
    configuration_number : int
        Highest configuration number that a holder ordered.
    """

    holder: str | None
    configuration_number: int


class LeaseAction(Enum):
    """What a keeper asks its driver to do next."""

    READ = "read"
    WRITE = "write"
    USE = "use"
    WAIT = "wait"
    OUTDATED = "outdated"


@dataclass(frozen=True)
class LeaseStep:
    """One step: an action with the write that it needs, or the fencing number."""

    action: LeaseAction
    if_version: int = 0
    body: LeaseBody | None = None
    fencing_number: int = 0


class LeaseKeeper:
    """Decides the steps of one holder towards one engine's lease.

    Parameters
    ----------
    holder : Holder
        Who wants the lease.
    limits : ControlLimits
        Times of leases.
    clock : Clock
        Source of the holder's own time.

    Examples
    --------
    >>> keeper = LeaseKeeper(holder, ControlLimits(), clock)
    >>> keeper.next_step(configuration_number=7).action
    <LeaseAction.READ: 'read'>
    """

    def __init__(self, holder: Holder, limits: ControlLimits, clock: Clock):
        self._holder = holder
        self._limits = limits
        self._clock = clock
        self._known = False
        self._version = 0
        self._body: LeaseBody | None = None
        self._seen_s = 0.0
        self._number: int | None = None
        self._confirmed_s = float("-inf")

    @property
    def held_number(self) -> int | None:
        """Return the fencing number if this holder was last known to hold it."""
        return self._number

    def next_step(self, configuration_number: int) -> LeaseStep:
        """Return what to do next to hold the lease for `configuration_number`."""
        if not self._known:
            return LeaseStep(LeaseAction.READ)
        recorded = self._body.configuration_number if self._body else 0
        if recorded > configuration_number:
            return LeaseStep(LeaseAction.OUTDATED)
        if self._number is not None and recorded == configuration_number:
            if self._age_s(self._confirmed_s) < to_s(self._limits.renew_ms):
                return LeaseStep(LeaseAction.USE, fencing_number=self._number)
        if self._may_write():
            return self._write(self._holder.name, configuration_number)
        return LeaseStep(LeaseAction.WAIT)

    def release_step(self) -> LeaseStep:
        """Return the write that gives the lease up, or a wait if it is not held."""
        if self._number is None or not self._known:
            return LeaseStep(LeaseAction.WAIT)
        return self._write(None, self._body.configuration_number)

    def take_read(self, version: int, body: LeaseBody | None) -> None:
        """Take the lease as it was read; version 0 and None if there is none."""
        if version != self._version:
            self._seen_s = self._clock.monotonic_s()
        if version != self._number:
            self._number = None
        self._known = True
        self._version = version
        self._body = body
        if body is not None and body.holder == self._holder.name:
            self._number = version

    def take_written(self, version: int, body: LeaseBody) -> None:
        """Take the answer of a write of `body` that landed as `version`."""
        self.take_read(version, body)
        self._confirmed_s = self._clock.monotonic_s()

    def take_conflict(self) -> None:
        """Take a refusal by version: this holder has lost the lease, so read it."""
        self._known = False
        self._number = None

    def forget_version(self) -> None:
        """Read the lease anew before the next step; what was seen is compared."""
        self._known = False

    def take_unknown(self) -> None:
        """Take a write whose answer was lost: read before anything else."""
        self._known = False

    def _may_write(self) -> bool:
        if self._number is not None or self._body is None:
            return True
        if self._body.holder is None:
            return True
        return self._age_s(self._seen_s) >= to_s(self._limits.lease_ms)

    def _write(self, holder: str | None, configuration_number: int) -> LeaseStep:
        body = LeaseBody(holder, configuration_number)
        return LeaseStep(LeaseAction.WRITE, self._version, body)

    def _age_s(self, since_s: float) -> float:
        return self._clock.monotonic_s() - since_s
