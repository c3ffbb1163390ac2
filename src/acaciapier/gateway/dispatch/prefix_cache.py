"""Estimate of the prompt prefixes that a worker has cached.

A prefix is known by a hash that takes the same memory whatever its length: callers
decide how many parts a prompt has.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NewType

import xxhash

PrefixHash = NewType("PrefixHash", int)

MAX_PREFIXES = 100_000
"""Prefixes recorded for the workers of a service, and in their common log."""


def hash_prefixes(
    parts: Sequence[tuple[str, int]],
) -> tuple[tuple[PrefixHash, int], ...]:
    """Return a hash of each prefix of a prompt, with the tokens of its last part."""
    hashed, prefix = [], 0
    for name, tokens in parts:
        prefix = xxhash.xxh3_64_intdigest(name.encode(), seed=prefix)
        hashed.append((PrefixHash(prefix), tokens))
    return tuple(hashed)


class PrefixCacheModel:
    """Estimate of the prompt prefixes in a worker's cache; evicts in LRU order.

    Parameters
    ----------
    capacity_tokens : int
        Memory of the worker.
    """

    def __init__(self, capacity_tokens: int):
        self._capacity = capacity_tokens
        self._used = 0
        self._tokens: OrderedDict[PrefixHash, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tokens)

    def cached_tokens(self, prefixes: Sequence[tuple[PrefixHash, int]]) -> int:
        """Return how many tokens of a prompt need no prefill."""
        cached = 0
        for prefix, tokens in prefixes:
            if prefix not in self._tokens:
                break
            cached += tokens
        return cached

    def record(
        self,
        prefixes: Sequence[tuple[PrefixHash, int]],
        max_prefixes: int = MAX_PREFIXES,
    ) -> None:
        """Record that a prompt is prefilled; its last part is not shared.

        At most `max_prefixes` are kept, the first ones of a longer prompt.
        """
        for prefix, tokens in prefixes[:-1][:max_prefixes]:
            if prefix in self._tokens:
                self._tokens.move_to_end(prefix)
            else:
                self._tokens[prefix] = tokens
                self._used += tokens
        while self._tokens and (
            self._used > self._capacity or len(self._tokens) > max_prefixes
        ):
            _, tokens = self._tokens.popitem(last=False)
            self._used -= tokens


class PrefillLog:
    """When the shared parts of prompts were last prefilled at some worker."""

    def __init__(self):
        self._last_s: OrderedDict[PrefixHash, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._last_s)

    def recent_tokens(
        self,
        prefixes: Sequence[tuple[PrefixHash, int]],
        reuse_ms: float,
        now_s: float,
    ) -> int:
        """Return how many shared tokens of a prompt were prefilled recently."""
        recent = 0
        for prefix, tokens in prefixes[:-1]:
            unused_s = now_s - self._last_s.get(prefix, -1e9)
            if unused_s > reuse_ms / 1_000.0:
                break
            recent += tokens
        return recent

    def record(
        self,
        prefixes: Sequence[tuple[PrefixHash, int]],
        reuse_ms: float,
        now_s: float,
    ) -> None:
        """Record that the shared parts of a prompt are prefilled now."""
        for prefix, _ in prefixes[:-1][:MAX_PREFIXES]:
            self._last_s[prefix] = now_s
            self._last_s.move_to_end(prefix)
        oldest_s = now_s - reuse_ms / 1_000.0
        while self._last_s:
            prefix, prefilled_s = next(iter(self._last_s.items()))
            if prefilled_s >= oldest_s and len(self._last_s) <= MAX_PREFIXES:
                break
            del self._last_s[prefix]
