"""Slots that a dispatcher has reserved, by permit and by worker."""

import math
from collections.abc import Collection, Iterable

from ..worker_limits import WorkerLimits
from .slot_requests import SlotReservation


class Reservations:
    """Reserved slots of the workers of one service.

    Parameters
    ----------
    limits : WorkerLimits
        Told what brittle workers hold.
    """

    def __init__(self, limits: WorkerLimits):
        self._limits = limits
        self._by_permit: dict[str, SlotReservation] = {}
        self._by_worker: dict[str, dict[str, SlotReservation]] = {}

    def __len__(self) -> int:
        return len(self._by_permit)

    @property
    def all(self) -> Iterable[SlotReservation]:
        """All reserved slots."""
        return self._by_permit.values()

    def find(self, permit: str) -> SlotReservation | None:
        """Return the slot that is reserved under a name."""
        return self._by_permit.get(permit)

    def at(self, key: str) -> Collection[SlotReservation]:
        """Return the reserved slots of a worker."""
        held = self._by_worker.get(key)
        return () if held is None else held.values()

    def add(self, permit: str, reservation: SlotReservation) -> None:
        """Reserve a slot."""
        self._by_permit[permit] = reservation
        self._by_worker.setdefault(reservation.worker, {})[permit] = reservation

    def restore(self, permit: str, reservation: SlotReservation) -> None:
        """Reserve a slot that another dispatcher has granted."""
        if permit not in self._by_permit:
            self.add(permit, reservation)
            self._limits.brittle.record_held(reservation.worker)

    def release(self, permit: str) -> SlotReservation | None:
        """Release a slot and return its reservation; None if it is not reserved."""
        reservation = self._by_permit.pop(permit, None)
        if reservation is not None:
            held = self._by_worker[reservation.worker]
            held.pop(permit, None)
            if not held:
                del self._by_worker[reservation.worker]
            self._limits.brittle.record_release(reservation.worker, reservation.sent)
        return reservation

    def release_owner(
        self, owner: str, kept: Collection[str] = (), before_s: float = math.inf
    ) -> dict[str, SlotReservation]:
        """Release and return the slots of an instance except `kept`, by permit."""
        owned = {
            permit: reservation
            for permit, reservation in self._by_permit.items()
            if reservation.owner == owner
            and permit not in kept
            and reservation.granted_s < before_s
        }
        for permit in owned:
            self.release(permit)
        return owned

    def confirm(self, permit: str, until_s: float) -> None:
        """Record that the instance of a slot has its permit."""
        reservation = self._by_permit.get(permit)
        if reservation is not None:
            reservation.accepted = True
            reservation.until_s = max(reservation.until_s, until_s)

    def release_overdue(self, now_s: float) -> dict[str, SlotReservation]:
        """Release and return the slots that nobody released or accepted in time."""
        overdue = {
            permit: reservation
            for permit, reservation in self._by_permit.items()
            if reservation.until_s < now_s
        }
        for permit in overdue:
            self.release(permit)
        return overdue
