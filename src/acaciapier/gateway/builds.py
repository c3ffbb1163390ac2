"""Observes which builds run side by side."""

from collections import Counter
from collections.abc import Callable, Iterable

from ..core.clock import Clock

UNNAMED_BUILD = "unknown"
"""Build of instances that do not name theirs; earlier releases do not."""


class Builds:
    """Builds of this instance and of the peers that are up.

    Parameters
    ----------
    own : str
        Build of this instance.
    peers : callable
        Returns the build of each peer that is up; empty if it names none.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    """

    def __init__(
        self,
        own: str,
        peers: Callable[[], Iterable[str]],
        clock: Clock,
        log: Callable[..., None],
    ):
        self.own = own or UNNAMED_BUILD
        self._peers = peers
        self._clock = clock
        self._log = log
        self._logged: frozenset[str] = frozenset({self.own})
        self._mixed_since_s: float | None = None

    def counts(self) -> Counter[str]:
        """Return the number of instances by build, this one included."""
        return Counter([self.own, *(build or UNNAMED_BUILD for build in self._peers())])

    def update(self) -> None:
        """Log when the set of builds has changed."""
        counts = self.counts()
        builds = frozenset(counts)
        if builds == self._logged:
            return
        self._logged = builds
        now_s = self._clock.monotonic_s()
        if len(builds) > 1:
            if self._mixed_since_s is None:
                self._mixed_since_s = now_s
            self._log("builds_mixed", builds=dict(counts))
        elif self._mixed_since_s is not None:
            mixed_ms = round((now_s - self._mixed_since_s) * 1_000.0)
            self._mixed_since_s = None
            self._log("builds_alike", build=self.own, mixed_ms=mixed_ms)
