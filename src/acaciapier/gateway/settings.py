"""Settings of the gateway, as the deployment gives them to each process."""

from dataclasses import dataclass

from ..core.ids import DataCentreId, InstanceId, RegionId


@dataclass(frozen=True)
class Address:
    """Where something listens."""

    host: str
    port: int


@dataclass(frozen=True)
class StoreSettings:
    """Address of the platform's store and the fleet's allowance of calls."""

    address: Address
    reads_per_s: float
    writes_per_s: float


@dataclass(frozen=True)
class GatewayBounds:
    """Bounds that the operators promise to callers and workers."""

    drain_ms: float = 2_000.0
    stop_grace_ms: float = 8_000.0
    stable_ms: float = 3_000.0
    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_slack: float = 50.0


@dataclass(frozen=True)
class GatewaySettings:
    """Everything a gateway process knows at its start.

    Parameters
    ----------
    instance : InstanceId
        Name of this instance.
    data_centre, region
        Where it is.
    front : Address
        Where callers connect.
    ready : Address
        Where readiness and metrics are served.
    control : Address
        Where other instances connect.
    seeds : tuple of Address
        Control addresses of a few instances; they may be stale.
    store : StoreSettings
        The platform's store.
    bounds : GatewayBounds
        Promises of the operators.
    fleet_key : bytes
        Shared secret of the instances.
    max_descriptors : int
        Open files that the process may have.
    link_mbps : float
        Speed of the machine's link.
    cores : float
        Processor share, in cores.
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
