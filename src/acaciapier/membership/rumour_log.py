"""Log of the rumours that an instance has heard lately."""

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

from ..core.clock import Clock

OFFER_S = 60.0
REMEMBER_S = 300.0
MAX_REMEMBERED = 8_192
MAX_DIGEST = 128
MAX_ANSWER = 64


class RumourLog:
    """Tells new rumours from known ones, and which a peer lacks.

    A rumour is known by the hash of its bytes. It is offered to peers for a
    minute and remembered for five, so it does not return as new.

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

    def digest(self) -> tuple[int, ...]:
        """Return the hashes of the newest offered rumours."""
        return tuple(key for key, _ in self._offered())

    def missing_from(self, known: Iterable[int]) -> tuple[bytes, ...]:
        """Return offered rumours that are not among `known`, oldest first."""
        known = set(known)
        lacking = [rumour for key, rumour in self._offered() if key not in known]
        return tuple(reversed(lacking[:MAX_ANSWER]))

    def unknown(self, offered: Iterable[int]) -> tuple[int, ...]:
        """Return those of `offered` that were not heard here."""
        return tuple(key for key in offered if key not in self._heard)[:MAX_ANSWER]

    def find(self, wanted: Iterable[int]) -> tuple[bytes, ...]:
        """Return the rumours with the hashes `wanted`, as far as known."""
        found = (self._heard.get(key) for key in wanted)
        return tuple(entry[1] for entry in found if entry is not None)[:MAX_ANSWER]

    def _offered(self) -> list[tuple[int, bytes]]:
        """Return hashes and rumours that are still offered, newest first."""
        oldest_s = self._clock.monotonic_s() - OFFER_S
        offered = []
        for key in reversed(self._heard):
            heard_s, rumour = self._heard[key]
            if heard_s < oldest_s or len(offered) >= MAX_DIGEST:
                break
            offered.append((key, rumour))
        return offered

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
