"""Estimate of the prompt prefixes that a worker has cached."""

from collections import OrderedDict
from collections.abc import Sequence


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
