"""Settings that the deployment gives to each gateway process."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..core.ids import DataCentreId, InstanceId, RegionId


@dataclass(frozen=True)
class Address:
    """Host and port of a TCP listener."""

    host: str
    port: int


@dataclass(frozen=True)
class StoreSettings:
    """Address of the platform's store and the call rates allowed to the fleet."""

    address: Address
    reads_per_s: float
    writes_per_s: float


DEFAULT_WORKER_HEARTBEAT_MS = 1_200.0
"""Period at which workers write their entries, if the deployment states none."""

DEFAULT_MEMORY_MB = 256.0
"""Memory of an instance if the deployment states no limit."""

DEFAULT_PREFIX_REUSE_MS = 7_000.0
"""Time for which a cached prefix is worth a detour, if the operators state none."""


@dataclass(frozen=True)
class GatewayBounds:
    """Time and retry limits that the operators guarantee to callers and workers."""

    drain_ms: float = 2_000.0
    stop_grace_ms: float = 8_000.0
    stable_ms: float = 3_000.0
    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_slack: float = 50.0
    prefix_reuse_ms: float = DEFAULT_PREFIX_REUSE_MS
    """Time since its last use within which a prefix should not be prefilled again."""
    evacuate_ms: float | None = None
    """Time until nothing new reaches an evacuated data centre; None if the deployment
    has no evacuations. It takes effect at the start."""
    cold_burst: float | None = None
    """Multiple of its rate that a cold worker survives in a second, above which
    `cold_slack` requests are allowed; None if cold workers are not limited."""
    cold_slack: float | None = None


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    Parameters
    ----------
    instance : InstanceId
        Name of this instance.
    data_centre, region
        Location of this instance.
    front : Address
        Listener for callers.
    ready : Address
        Listener for readiness and metrics.
    control : Address
        Listener for other instances.
    seeds : tuple of Address
        Control addresses of a few instances; they may be outdated.
    store : StoreSettings
        Access to the platform's store.
    bounds : GatewayBounds
        Limits that the operators guarantee.
    fleet_key : bytes
        Shared secret of the instances.
    max_descriptors : int
        Limit on the open file descriptors of the process.
    link_mbps : float
        Bandwidth of the machine's network link in Mbit/s.
    cores : float
        CPU capacity available to the process, in cores.
    memory_mb : float
        Limit on the memory of the process, in units of 10^6 bytes.
    worker_heartbeat_ms : float
        Period at which workers write their entries in the store.
    first_start : bool
        Whether the whole system starts for the first time.
    regions : mapping of DataCentreId to RegionId
        Region of each data centre; one that is missing is in no region.
    """

    instance: InstanceId
    data_centre: DataCentreId
    region: RegionId
    front: Address
    ready: Address
    control: Address
    seeds: tuple[Address, ...]
    store: StoreSettings
    bounds: GatewayBounds
    fleet_key: bytes
    max_descriptors: int
    link_mbps: float = 1_000.0
    cores: float = 1.0
    memory_mb: float = DEFAULT_MEMORY_MB
    worker_heartbeat_ms: float = DEFAULT_WORKER_HEARTBEAT_MS
    first_start: bool = False
    regions: Mapping[DataCentreId, RegionId] = field(default_factory=dict)
