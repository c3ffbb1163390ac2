"""Log of recent gossip messages of an instance."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from functools import reduce
from operator import xor

import xxhash

from ..core.clock import Clock

ADVERTISE_S = 20.0
ADVERTISE_MARGIN_S = 5.0
RETENTION_S = 300.0
MAX_RETAINED_MESSAGES = 8_192
MAX_ADVERTISED_HASHES = 512
MAX_ANSWER_ENTRIES = 64


class GossipLog:
    """Detects duplicates of gossip messages, and messages that a peer lacks.

    A message is identified by the hash of its encoded bytes. Its hash is advertised
    to peers for 20 s, and the message is kept for five minutes, so that a late copy
    is recognized as a duplicate.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._entries: OrderedDict[int, tuple[float, bytes]] = OrderedDict()

    def add(self, message: bytes) -> bool:
        """Store `message`; return whether it is new."""
        key = hash_message(message)
        if key in self._entries:
            return False
        self._entries[key] = (self._clock.monotonic_s(), message)
        self._evict()
        return True

    def checksum(self) -> int:
        """Return the XOR of the advertised hashes."""
        return reduce(xor, self.advertised_hashes(), 0)

    def advertised_hashes(self) -> tuple[int, ...]:
        """Return the hashes to compare with peers, newest first."""
        return self._added_within(ADVERTISE_S)

    def unknown(self, hashes: Iterable[int]) -> tuple[int, ...]:
        """Return those of `hashes` whose messages are not in the log."""
        return tuple(key for key in hashes if key not in self._entries)[
            :MAX_ANSWER_ENTRIES
        ]

    def missing_from(self, hashes: Sequence[int]) -> tuple[bytes, ...]:
        """Return messages that a peer advertising `hashes` lacks, oldest first.

        Messages that the peer may no longer advertise are omitted. If `hashes` has
        the maximum length, it may be truncated and nothing is returned.
        """
        if len(hashes) >= MAX_ADVERTISED_HASHES:
            return ()
        known = set(hashes)
        recent = self._added_within(ADVERTISE_S - ADVERTISE_MARGIN_S)
        missing = [key for key in recent if key not in known][:MAX_ANSWER_ENTRIES]
        return self.find(reversed(missing))

    def find(self, wanted: Iterable[int]) -> tuple[bytes, ...]:
        """Return the messages with the hashes `wanted` that are in the log."""
        found = (self._entries.get(key) for key in wanted)
        return tuple(entry[1] for entry in found if entry is not None)[
            :MAX_ANSWER_ENTRIES
        ]

    def _added_within(self, age_s: float) -> tuple[int, ...]:
        """Return the hashes of messages that are at most `age_s` old, newest first."""
        oldest_s = self._clock.monotonic_s() - age_s
        hashes = []
        for key in reversed(self._entries):
            added_s, _ = self._entries[key]
            if added_s < oldest_s or len(hashes) >= MAX_ADVERTISED_HASHES:
                break
            hashes.append(key)
        return tuple(hashes)

    def _evict(self) -> None:
        oldest_s = self._clock.monotonic_s() - RETENTION_S
        while self._entries:
            added_s, _ = next(iter(self._entries.values()))
            if added_s >= oldest_s and len(self._entries) <= MAX_RETAINED_MESSAGES:
                return
            self._entries.popitem(last=False)


def hash_message(message: bytes) -> int:
    """Return the hash that identifies an encoded gossip message."""
    return xxhash.xxh3_64_intdigest(message)
