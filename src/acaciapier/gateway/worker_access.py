"""How this instance reaches workers, itself or through others."""

import random as random_module
from collections.abc import Callable
from typing import NamedTuple

from ..core.clock import Clock
from ..core.ids import DataCentreId
from ..observability.metrics import Metrics
from ..wire.network import PeerNetwork
from .catalogue import Catalogue
from .peers import Peers
from .supervision import TaskSupervisor
from .tunnel_server import TunnelServer
from .tunnels import TunnelClient
from .worker_connector import WorkerConnector
from .worker_paths import WorkerPaths


class WorkerAccess(NamedTuple):
    """Components that open connections to workers, here and for other instances."""

    paths: WorkerPaths
    connector: WorkerConnector
    tunnel_server: TunnelServer


def make_worker_access(
    catalogue: Catalogue,
    network: PeerNetwork,
    peers: Peers,
    data_centre: DataCentreId,
    clock: Clock,
    random: random_module.Random,
    log: Callable[..., None],
    tasks: TaskSupervisor,
    metrics: Metrics,
) -> WorkerAccess:
    """Create the components that open connections to workers."""
    eligibility = catalogue.eligibility
    paths = WorkerPaths(clock, catalogue.open_workers, log)
    tunnels = TunnelClient(
        network, peers, data_centre, random, tasks, log, metrics, eligibility
    )
    connector = WorkerConnector(
        paths,
        tunnels,
        catalogue.open_workers,
        random,
        log,
        tasks,
        eligibility.is_open,
    )
    tunnel_server = TunnelServer(
        catalogue,
        connector.open_for_peer,
        lambda worker: paths.since_s(worker.service) is not None,
        log,
        metrics,
        eligibility.is_open,
    )
    return WorkerAccess(paths, connector, tunnel_server)
