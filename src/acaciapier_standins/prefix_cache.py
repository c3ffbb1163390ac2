"""Prefix cache of a model engine, with a delayed and lossy event log."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import Enum

import xxhash

MAX_CACHE_EVENTS = 10_000


class CacheEventType(Enum):
    """Kind of change to a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True)
class CacheEvent:
    """A numbered change of the cache."""

    number: int
    type: CacheEventType
    prefix: str
    at_s: float


def prefix_key(prefix: str) -> str:
    """Return the hash that identifies a prefix in cache events."""
    return xxhash.xxh64_hexdigest(prefix.encode())


class CacheEventLog:
    """Event log that shows events after a lag and loses some of them.

    Parameters
    ----------
    lag_s : float
        Age in seconds at which an event becomes visible.
    gap_share : float
        Share of events that are lost; their numbers are skipped.
    rng : random.Random
        Random source that decides which events are lost.
    """

    def __init__(self, lag_s: float, gap_share: float, rng: random.Random):
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._random = rng
        self._next = 0
        self._events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)

    def add(self, type: CacheEventType, prefix: str, now_s: float) -> None:
        """Record an event under the next number, unless it is randomly lost."""
        number = self._next
        self._next += 1
        if self._random.random() >= self._gap_share:
            self._events.append(CacheEvent(number, type, prefix, now_s))

    def since(self, number: int, now_s: float) -> list[CacheEvent]:
        """Return the visible events with at least the number `number`."""
        limit_s = now_s - self._lag_s
        return [e for e in self._events if e.number >= number and e.at_s <= limit_s]


class PrefixCache:
    """LRU cache of prompt prefixes with a capacity in tokens.

    Parameters
    ----------
    capacity_tokens : int
        Total tokens of all cached prefixes.
    log : CacheEventLog
        Log that records stored and evicted prefixes.
    """

    def __init__(self, capacity_tokens: int, log: CacheEventLog):
        self._capacity_tokens = capacity_tokens
        self._log = log
        self._tokens: OrderedDict[str, int] = OrderedDict()
        self.used_tokens = 0

    def __contains__(self, key: str) -> bool:
        return key in self._tokens

    def look_up(self, key: str, tokens: int, now_s: float) -> int:
        """Return the number of cached tokens, or store the prefix and return 0."""
        if key in self._tokens:
            self._tokens.move_to_end(key)
            return self._tokens[key]
        self.store(key, tokens, now_s)
        return 0

    def store(self, key: str, tokens: int, now_s: float) -> None:
        """Store a prefix, evicting the least recently used ones until it fits."""
        if tokens > self._capacity_tokens or key in self._tokens:
            return
        self._tokens[key] = tokens
        self.used_tokens += tokens
        self._log.add(CacheEventType.STORED, key, now_s)
        while self.used_tokens > self._capacity_tokens:
            self._evict_oldest(now_s)

    def clear(self, now_s: float) -> None:
        """Evict all prefixes, since another model invalidates them."""
        while self._tokens:
            self._evict_oldest(now_s)

    def _evict_oldest(self, now_s: float) -> None:
        key, tokens = self._tokens.popitem(last=False)
        self.used_tokens -= tokens
        self._log.add(CacheEventType.EVICTED, key, now_s)
