"""Log of the rumours that an instance has heard lately."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from functools import reduce
from operator import xor

import xxhash

from ..core.clock import Clock

OFFER_S = 20.0
OFFER_MARGIN_S = 5.0
REMEMBER_S = 300.0
MAX_REMEMBERED = 8_192
MAX_OFFERED = 512
MAX_ANSWER = 64


class RumourLog:
    """Tells new rumours from known ones, and which a peer lacks.

    A rumour is known by the hash of its bytes. It is offered to peers for
    20 s and remembered for five minutes, so it does not return as new.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._heard: OrderedDict[int, tuple[float, bytes]] = OrderedDict()

    def add(self, rumour: bytes) -> bool:
        """Remember `rumour`; tell whether it is new."""
        key = hash_rumour(rumour)
        if key in self._heard:
            return False
        self._heard[key] = (self._clock.monotonic_s(), rumour)
        self._forget()
        return True

    def checksum(self) -> int:
        """Return the exclusive or of the hashes of the offered rumours."""
        return reduce(xor, self.offered(), 0)

    def offered(self) -> tuple[int, ...]:
        """Return the hashes of the newest offered rumours, newest first."""
        return self._heard_within(OFFER_S)

    def unknown(self, hashes: Iterable[int]) -> tuple[int, ...]:
        """Return those of `hashes` that were not heard here."""
        return tuple(key for key in hashes if key not in self._heard)[:MAX_ANSWER]

    def missing_from(self, hashes: Sequence[int]) -> tuple[bytes, ...]:
        """Return rumours that a peer which offers `hashes` lacks, oldest first.

        Rumours that the peer may have ceased to offer are left out.
        """
        if len(hashes) >= MAX_OFFERED:
            return ()
        known = set(hashes)
        recent = self._heard_within(OFFER_S - OFFER_MARGIN_S)
        lacking = [key for key in recent if key not in known][:MAX_ANSWER]
        return self.find(reversed(lacking))

    def find(self, wanted: Iterable[int]) -> tuple[bytes, ...]:
        """Return the rumours with the hashes `wanted`, as far as known."""
        found = (self._heard.get(key) for key in wanted)
        return tuple(entry[1] for entry in found if entry is not None)[:MAX_ANSWER]

    def _heard_within(self, age_s: float) -> tuple[int, ...]:
        """Return the hashes of rumours up to an age, newest first."""
        oldest_s = self._clock.monotonic_s() - age_s
        hashes = []
        for key in reversed(self._heard):
            heard_s, _ = self._heard[key]
            if heard_s < oldest_s or len(hashes) >= MAX_OFFERED:
                break
            hashes.append(key)
        return tuple(hashes)

    def _forget(self) -> None:
        oldest_s = self._clock.monotonic_s() - REMEMBER_S
        while self._heard:
            heard_s, _ = next(iter(self._heard.values()))
            if heard_s >= oldest_s and len(self._heard) <= MAX_REMEMBERED:
                return
            self._heard.popitem(last=False)


def hash_rumour(rumour: bytes) -> int:
    """Return the hash by which a rumour is known."""
    return xxhash.xxh3_64_intdigest(rumour)
