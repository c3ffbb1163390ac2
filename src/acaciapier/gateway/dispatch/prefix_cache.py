"""Estimate of the prompt prefixes that a worker has cached."""

from collections import OrderedDict
from collections.abc import Sequence

MAX_RECORDED_PREFIXES = 5_000
"""Number of recorded prefixes at which outdated ones are removed."""


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
        self._parts: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def cached_tokens(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt need no prefill."""
        cached = 0
        prefix: tuple[str, ...] = ()
        for name, tokens in parts:
            prefix = (*prefix, name)
            if prefix not in self._parts:
                break
            cached += tokens
        return cached

    def record(self, parts: Sequence[tuple[str, int]]) -> None:
        """Record that a prompt is prefilled; its last part is not shared."""
        prefix: tuple[str, ...] = ()
        for name, tokens in parts[:-1]:
            prefix = (*prefix, name)
            if prefix in self._parts:
                self._parts.move_to_end(prefix)
            else:
                self._parts[prefix] = tokens
                self._used += tokens
        while self._used > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._used -= tokens


class PrefillLog:
    """When the shared parts of prompts were last prefilled at some worker."""

    def __init__(self):
        self._last_s: dict[tuple[str, ...], float] = {}

    def recent_tokens(
        self, parts: Sequence[tuple[str, int]], reuse_ms: float, now_s: float
    ) -> int:
        """Return how many shared tokens of a prompt were prefilled recently."""
        tokens = 0
        prefix: tuple[str, ...] = ()
        for name, count in parts[:-1]:
            prefix = (*prefix, name)
            unused_s = now_s - self._last_s.get(prefix, -1e9)
            if unused_s > reuse_ms / 1_000.0:
                break
            tokens += count
        return tokens

    def record(
        self, parts: Sequence[tuple[str, int]], reuse_ms: float, now_s: float
    ) -> None:
        """Record that the shared parts of a prompt are prefilled now."""
        prefix: tuple[str, ...] = ()
        for name, _ in parts[:-1]:
            prefix = (*prefix, name)
            self._last_s[prefix] = now_s
        if len(self._last_s) > MAX_RECORDED_PREFIXES:
            oldest_s = now_s - reuse_ms / 1_000.0
            self._last_s = {
                prefix: prefilled_s
                for prefix, prefilled_s in self._last_s.items()
                if prefilled_s >= oldest_s
            }
