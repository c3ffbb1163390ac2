"""Leases of engines, whose safety rests on versions rather than on time.

A lease is an object of the kind `engine-leases`, named after its engine. A controller
acquires it by a conditional update, and the new version of the object is the fencing
number of its orders. Time only decides when another controller tries to acquire the
lease: once the lease has been unchanged for `lease_ms` on that controller's own clock.
The object also stores the highest configuration number ordered, so that a holder with
an older configuration cannot revert an engine.
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
        Name of the holder, or None after a release. Only the holder writes its own
        name, so by reading it back it detects that a write succeeded whose answer
        was lost.
    configuration_number : int
        Highest configuration number that a holder has ordered.
    """

    holder: str | None
    configuration_number: int


class LeaseAction(Enum):
    """What the caller of `LeaseKeeper.next_step` does next."""

    READ = "read"
    WRITE = "write"
    USE = "use"
    WAIT = "wait"
    OUTDATED = "outdated"


@dataclass(frozen=True)
class LeaseStep:
    """An action, with the parameters of a write or the fencing number to use."""

    action: LeaseAction
    if_version: int = 0
    body: LeaseBody | None = None
    fencing_number: int = 0


class LeaseKeeper:
    """State machine by which one holder acquires, renews and releases a lease.

    It does no I/O: the caller performs each step and reports the result.

    Parameters
    ----------
    holder : Holder
        The controller that acquires the lease.
    limits : ControlLimits
        Lease and renewal times.
    clock : Clock
        Source of the monotonic time.

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
        self._is_current = False
        self._version = 0
        self._body: LeaseBody | None = None
        self._version_first_seen_s = 0.0
        self._fencing_number: int | None = None
        self._confirmed_s = float("-inf")

    @property
    def held_fencing_number(self) -> int | None:
        """Return the fencing number if this holder held the lease when last checked."""
        return self._fencing_number

    def next_step(self, configuration_number: int) -> LeaseStep:
        """Return the next step towards holding the lease for a configuration."""
        if not self._is_current:
            return LeaseStep(LeaseAction.READ)
        recorded = self._body.configuration_number if self._body else 0
        if recorded > configuration_number:
            return LeaseStep(LeaseAction.OUTDATED)
        if self._fencing_number is not None and recorded == configuration_number:
            if self._age_s(self._confirmed_s) < to_s(self._limits.renew_ms):
                return LeaseStep(LeaseAction.USE, fencing_number=self._fencing_number)
        if self._may_write():
            return self._write(self._holder.name, configuration_number)
        return LeaseStep(LeaseAction.WAIT)

    def release_step(self) -> LeaseStep:
        """Return the write that releases the lease, or a wait if it is not held."""
        if self._fencing_number is None or not self._is_current:
            return LeaseStep(LeaseAction.WAIT)
        return self._write(None, self._body.configuration_number)

    def take_read(self, version: int, body: LeaseBody | None) -> None:
        """Process a read of the lease; version 0 and None mean it does not exist."""
        if version != self._version:
            self._version_first_seen_s = self._clock.monotonic_s()
        if version != self._fencing_number:
            self._fencing_number = None
        self._is_current = True
        self._version = version
        self._body = body
        if body is not None and body.holder == self._holder.name:
            self._fencing_number = version

    def take_written(self, version: int, body: LeaseBody) -> None:
        """Process a successful write of `body`, which created `version`."""
        self.take_read(version, body)
        self._confirmed_s = self._clock.monotonic_s()

    def take_conflict(self) -> None:
        """Process a version conflict: the lease is lost and must be read again."""
        self._is_current = False
        self._fencing_number = None

    def forget_version(self) -> None:
        """Read the lease again before the next step, without losing its known age."""
        self._is_current = False

    def take_unknown(self) -> None:
        """Process a write of unknown outcome: the lease must be read again."""
        self._is_current = False

    def _may_write(self) -> bool:
        if self._fencing_number is not None or self._body is None:
            return True
        if self._body.holder is None:
            return True
        return self._age_s(self._version_first_seen_s) >= to_s(self._limits.lease_ms)

    def _write(self, holder: str | None, configuration_number: int) -> LeaseStep:
        body = LeaseBody(holder, configuration_number)
        return LeaseStep(LeaseAction.WRITE, self._version, body)

    def _age_s(self, since_s: float) -> float:
        return self._clock.monotonic_s() - since_s
