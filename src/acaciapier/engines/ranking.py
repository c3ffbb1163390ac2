"""Ranking of holders for each engine by rendezvous hashing.

The ranking distributes engines over holders and avoids conflicts. Safety does not
depend on it, so holders with different lists may disagree. It is updated
incrementally as the two lists change, because with 12,000 engines and 500 holders a
full computation takes seconds, and instances are replaced every few seconds.
"""

from collections.abc import Collection, Iterator

import xxhash


class Ranking:
    """The rank of one holder for each engine, from 0 for the first.

    Parameters
    ----------
    holder : str
        The holder whose ranks are computed.

    Examples
    --------
    >>> ranking = Ranking("a.1")
    >>> for _ in ranking.follow(["a.1", "b.1"], ["e1", "e2"]):
    ...     pass  # yield to other tasks here
    >>> ranking.rank("e1")
    0
    """

    def __init__(self, holder: str):
        self._holder = holder
        self._other_seeds: dict[str, int] = {}
        self._own_digests: dict[bytes, int] = {}
        self._ranks: dict[bytes, int] = {}
        self._own_seed = _seed_of(holder)

    def rank(self, engine: str) -> int:
        """Return the number of holders that rank before this one for `engine`."""
        return self._ranks.get(engine.encode(), 0)

    def follow(
        self, holders: Collection[str], engines: Collection[str]
    ) -> Iterator[None]:
        """Update the ranks to new lists; yields after each holder added or removed."""
        self._follow_engines({engine.encode() for engine in engines})
        others = set(holders) - {self._holder}
        for removed in set(self._other_seeds) - others:
            self._adjust_ranks(self._other_seeds.pop(removed), -1)
            yield
        for added in others - set(self._other_seeds):
            self._other_seeds[added] = _seed_of(added)
            self._adjust_ranks(self._other_seeds[added], +1)
            yield

    def _follow_engines(self, engines: set[bytes]) -> None:
        for removed in set(self._own_digests) - engines:
            del self._own_digests[removed]
            del self._ranks[removed]
        for added in engines - set(self._own_digests):
            own = xxhash.xxh64_intdigest(added, self._own_seed)
            digests = (
                xxhash.xxh64_intdigest(added, s) for s in self._other_seeds.values()
            )
            self._own_digests[added] = own
            self._ranks[added] = sum(digest > own for digest in digests)

    def _adjust_ranks(self, seed: int, delta: int) -> None:
        """Add `delta` to the rank for engines where the seed's holder ranks before."""
        digest = xxhash.xxh64_intdigest
        for engine, own in self._own_digests.items():
            if digest(engine, seed) > own:
                self._ranks[engine] += delta


def _seed_of(holder: str) -> int:
    return xxhash.xxh64_intdigest(holder.encode())
