"""Faults, size and seed of a soak."""

from dataclasses import dataclass

from .partitions import Way

PLANNED_FAULTS = ("term", "hup", "config")
FAULTS = (
    "kill",
    "pause",
    "term",
    "hup",
    "store_down",
    "store_silent",
    "store_slow",
    "store_cut",
    "store_reset",
    "peer_cut",
    "peer_deaf",
    "peer_slow",
    "peer_reset",
    "worker_cut",
    "worker_reset",
    "worker_mute",
    "worker_crash",
    "drain",
    "extra",
    "break",
    "config",
    "compact",
)
ANNOUNCEMENT_FAULTS = ("store_restored", "leaving", "turn_away")
"""Faults that `FAULTS` does not contain, so that earlier seeds play as before."""

FRAMING_FAULTS = ("unframed", "unframed_break")
"""Answers that end with their connection, and streams that do so within an event."""

REFUSAL_FAULTS = ("busy", "full", "full_twice")
"""Answers with 503 after a run and without one, and second copies of the latter."""

LIMIT_FAULTS = ("limit",)
"""Workers that name a limit from then on."""

ENDLESS_FAULTS = ("endless",)
"""Answers without end, of one kind each."""

SILENCE_FAULTS = ("silence",)
"""Sound workers that answer nothing for a second."""

CHANGE_FAULTS = ("change",)
"""Configurations in which routes, timeouts, attempts, connections, keys or the idle
timeout differ. They decide which streams may be taken up, so `ALL_FAULTS` does not
contain them."""

VERSION_FAULTS = ("upgrade", "release")
"""Workers of another software version under the same id or in the place of others. With
them, workers have versions and callers take up streams."""

FLEET_FAULTS = ("kill_all", "kill_all_store", "release_all", "timeout")
"""All gateways killed at once, also with the store; all workers that write streams
replaced by those of one version; a changed timeout of the route whose streams callers
take up."""

EVACUATION_FAULTS = ("evacuate",)
"""Evacuations of a data centre with a third of the workers. They need a setting of the
gateways, so `ALL_FAULTS` does not contain them."""

COLD_FAULTS = ("cold",)
"""Workers that become cold in traffic. They need settings of the gateways, too."""

REGION_FAULTS = ("regions",)
"""Configurations that restrict all routes to the workers of one region for a while."""

PARTITION_FAULTS = tuple(f"partition_{way.value}" for way in Way)
"""Gateways that reach no worker for some seconds. Other faults of workers would blur
what callers may notice, so `ALL_FAULTS` does not contain them."""

ALL_FAULTS = (
    FAULTS
    + ANNOUNCEMENT_FAULTS
    + FRAMING_FAULTS
    + REFUSAL_FAULTS
    + LIMIT_FAULTS
    + ENDLESS_FAULTS
    + SILENCE_FAULTS
    + VERSION_FAULTS
    + FLEET_FAULTS
)


@dataclass(frozen=True)
class SoakPlan:
    """Size and seed of one soak."""

    seed: int
    seconds: float = 8.0
    gateways: int = 3
    callers: int = 8
    faults: tuple[str, ...] = FAULTS

    @property
    def all_planned(self) -> bool:
        """Return whether all faults are planned work, or none in the rules."""
        allowed = PLANNED_FAULTS + CHANGE_FAULTS + SILENCE_FAULTS
        return set(self.faults) <= set(allowed)

    @property
    def has_versions(self) -> bool:
        """Return whether workers have several software versions."""
        versions = {*VERSION_FAULTS, "release_all"}
        return not versions.isdisjoint(self.faults)

    @property
    def has_evacuations(self) -> bool:
        """Return whether data centres are evacuated."""
        return not set(EVACUATION_FAULTS).isdisjoint(self.faults)

    @property
    def has_cold_workers(self) -> bool:
        """Return whether workers become cold."""
        return not set(COLD_FAULTS).isdisjoint(self.faults)

    @property
    def has_regions(self) -> bool:
        """Return whether routes are restricted to regions."""
        return not set(REGION_FAULTS).isdisjoint(self.faults)

    @property
    def has_partitions(self) -> bool:
        """Return whether gateways reach workers over links of their own."""
        return not set(PARTITION_FAULTS).isdisjoint(self.faults)
