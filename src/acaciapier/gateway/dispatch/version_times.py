"""Learned times of the software versions of a service."""

from collections.abc import Mapping

from ..models import SoftwareVersion

EWMA_WEIGHT = 0.05
"""Weight of the newest request; the last fourteen weigh as much as all earlier ones."""

MIN_REQUESTS = 20
"""Requests from which an average counts."""


class VersionTimes:
    """How long requests hold their slots at the workers of each version."""

    def __init__(self):
        self._averages: dict[SoftwareVersion, tuple[int, float]] = {}
        """Number of requests and average time in ms."""

    def record(self, version: SoftwareVersion, held_ms: float) -> None:
        """Record a request that has released its slot."""
        count, average_ms = self._averages.pop(version, (0, 0.0))
        weight = max(EWMA_WEIGHT, 1.0 / (count + 1))
        average_ms += weight * (held_ms - average_ms)
        self._averages[version] = count + 1, average_ms

    def rates(
        self, slots: Mapping[SoftwareVersion, int]
    ) -> dict[SoftwareVersion, float]:
        """Return the requests a second of each version with this number of slots.

        A version that is not known yet counts as fast as the average of the others.
        """
        self._averages = {
            version: known
            for version, known in self._averages.items()
            if version in slots
        }
        known = {
            version: max(1.0, average_ms)
            for version, (count, average_ms) in self._averages.items()
            if count >= MIN_REQUESTS
        }
        usual_ms = sum(known.values()) / len(known) if known else 1_000.0
        return {
            version: 1_000.0 * count / known.get(version, usual_ms)
            for version, count in slots.items()
        }
