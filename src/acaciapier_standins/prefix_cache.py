"""Prefix cache of a model engine, and its late and incomplete event log."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import Enum

import xxhash

KEPT_EVENTS = 10_000


class CacheEventType(Enum):
    """What happened to a prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True)
class CacheEvent:
    """One numbered change of the cache."""

    number: int
    type: CacheEventType
    prefix: str
    at_s: float


def prefix_key(prefix: str) -> str:
    """Return the hash under which engines publish a prefix."""
    return xxhash.xxh64_hexdigest(prefix.encode())


class CacheEventLog:
    """Events that show after a lag, with some missing.

    Parameters
    ----------
    lag_s : float
        Age in seconds at which an event becomes visible.
    gap_share : float
        Share of events that are lost; their numbers are skipped.
    source : random.Random
        Decides which events are lost.
    """

    def __init__(self, lag_s: float, gap_share: float, source: random.Random):
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._random = source
        self._next = 0
        self._kept: deque[CacheEvent] = deque(maxlen=KEPT_EVENTS)

    def add(self, type: CacheEventType, prefix: str, now_s: float) -> None:
        """Record an event, unless it is one of the lost ones."""
        number = self._next
        self._next += 1
        if self._random.random() >= self._gap_share:
            self._kept.append(CacheEvent(number, type, prefix, now_s))

    def since(self, number: int, now_s: float) -> list[CacheEvent]:
        """Return the visible events from `number` on."""
        limit_s = now_s - self._lag_s
        return [e for e in self._kept if e.number >= number and e.at_s <= limit_s]


class PrefixCache:
    """Prefixes of prompts in limited memory, evicted by least recent use.

    Parameters
    ----------
    capacity_tokens : int
        Memory, in tokens.
    log : CacheEventLog
        Receives the changes.
    """

    def __init__(self, capacity_tokens: int, log: CacheEventLog):
        self._capacity_tokens = capacity_tokens
        self._log = log
        self._tokens: OrderedDict[str, int] = OrderedDict()
        self.used_tokens = 0

    def __contains__(self, key: str) -> bool:
        return key in self._tokens

    def look_up(self, key: str, tokens: int, now_s: float) -> int:
        """Return how many tokens are cached, and store the prefix if it was not."""
        if key in self._tokens:
            self._tokens.move_to_end(key)
            return self._tokens[key]
        self.store(key, tokens, now_s)
        return 0

    def store(self, key: str, tokens: int, now_s: float) -> None:
        """Store a prefix and evict others until it fits."""
        if tokens > self._capacity_tokens or key in self._tokens:
            return
        self._tokens[key] = tokens
        self.used_tokens += tokens
        self._log.add(CacheEventType.STORED, key, now_s)
        while self.used_tokens > self._capacity_tokens:
            self._evict_oldest(now_s)

    def clear(self, now_s: float) -> None:
        """Evict everything, as when another model is loaded."""
        while self._tokens:
            self._evict_oldest(now_s)

    def _evict_oldest(self, now_s: float) -> None:
        key, tokens = self._tokens.popitem(last=False)
        self.used_tokens -= tokens
        self._log.add(CacheEventType.EVICTED, key, now_s)
