"""Which holder acts first on each engine, by rendezvous hashing.

The ranking spreads engines over holders and saves conflicts; safety does not rest
on it, so holders with different lists may disagree. It is kept up to date by the
changes of the two lists, because at 12,000 engines and 500 holders a whole
computation takes seconds and instances are replaced every few seconds.
"""

from collections.abc import Collection, Iterator

import xxhash


class Ranking:
    """The rank of one holder for each engine, from 0 for the first.

    Parameters
    ----------
    holder : str
        The holder whose ranks are kept.

    Examples
    --------
    >>> ranking = Ranking("a.1")
    >>> for _ in ranking.follow(["a.1", "b.1"], ["e1", "e2"]):
    ...     pass  # one step done; let others run
    >>> ranking.rank("e1")
    0
    """

    def __init__(self, holder: str):
        self._holder = holder
        self._others: dict[str, int] = {}
        self._own: dict[bytes, int] = {}
        self._ranks: dict[bytes, int] = {}
        self._seed = _seed_of(holder)

    def rank(self, engine: str) -> int:
        """Return how many holders come before this one for `engine`."""
        return self._ranks.get(engine.encode(), 0)

    def follow(
        self, holders: Collection[str], engines: Collection[str]
    ) -> Iterator[None]:
        """Take new lists; yields after each step that is worth a pause."""
        self._follow_engines({engine.encode() for engine in engines})
        others = set(holders) - {self._holder}
        for gone in set(self._others) - others:
            self._shift(self._others.pop(gone), -1)
            yield
        for new in others - set(self._others):
            self._others[new] = _seed_of(new)
            self._shift(self._others[new], +1)
            yield

    def _follow_engines(self, engines: set[bytes]) -> None:
        for gone in set(self._own) - engines:
            del self._own[gone]
            del self._ranks[gone]
        for new in engines - set(self._own):
            own = xxhash.xxh64_intdigest(new, self._seed)
            digests = (xxhash.xxh64_intdigest(new, s) for s in self._others.values())
            self._own[new] = own
            self._ranks[new] = sum(digest > own for digest in digests)

    def _shift(self, seed: int, by: int) -> None:
        """Add `by` to the rank where the holder of `seed` goes before."""
        digest = xxhash.xxh64_intdigest
        for engine, own in self._own.items():
            if digest(engine, seed) > own:
                self._ranks[engine] += by


def _seed_of(holder: str) -> int:
    return xxhash.xxh64_intdigest(holder.encode())
