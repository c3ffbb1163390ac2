"""Keeps the policy's pools in step with the platform's list of instances."""

from collections import defaultdict
from collections.abc import Callable, Iterable

import httpcore
import msgspec
import trio

from ..configuration import ConfigurationState
from ..core.clock import to_s
from ..core.ids import DataCentreId, Incarnation, PoolName, RegionId, TargetId
from ..observability import get_logger
from ..policy import PathPolicy, PoolLimits, TargetView, WorkspaceLimits
from .models import TargetBody

log = get_logger("acaciapier.targets")

POLL_INTERVAL_MS = 500.0


class InstanceBody(msgspec.Struct, frozen=True):
    """A record of the platform's list of instances."""

    id: str
    incarnation: int
    role: str
    data_centre: str
    region: str
    state: str = "live"
    url: str | None = None
    pool: str | None = None
    kind: str | None = None
    inner_host: str | None = None
    inner_port: int | None = None


class ListBody(msgspec.Struct, frozen=True):
    """Body of the platform's list of instances."""

    revision: int
    instances: list[InstanceBody]


class InstanceListClient:
    """Reads the platform's list, and keeps this instance's own record in it."""

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=4.0)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def read(self) -> ListBody:
        """Return the whole list."""
        response = await self._pool.request("GET", f"{self._url}/v1/instances")
        return msgspec.json.decode(response.content, type=ListBody)

    async def put(self, record: InstanceBody) -> None:
        """Set or replace one record."""
        await self._pool.request(
            "PUT",
            f"{self._url}/v1/instances/{record.id}",
            headers=[(b"content-type", b"application/json")],
            content=msgspec.json.encode(record),
        )

    async def delete(self, instance: str) -> None:
        """Remove one record."""
        await self._pool.request("DELETE", f"{self._url}/v1/instances/{instance}")


class TargetDirectory:
    """Gives the policy the live targets and limits of each pool."""

    def __init__(
        self,
        client: InstanceListClient,
        policy: PathPolicy,
        configuration: Callable[[], ConfigurationState],
    ):
        self._client = client
        self._policy = policy
        self._configuration = configuration
        self._instances: dict[str, InstanceBody] = {}
        self._leaving: dict[str, int] = {}

    def hear_target(self, target: TargetView, word: TargetBody) -> None:
        """Take a target's own word about itself."""
        if word.leaving and self._leaving.get(word.id) != word.incarnation:
            self._leaving[word.id] = word.incarnation
            self.refresh()

    def has_targets(self, pool: str) -> bool:
        """Tell whether at least one live target of `pool` is known."""
        return any(one.pool == pool for one in self._live())

    async def run(self) -> None:
        """Poll the list for ever."""
        while True:
            try:
                body = await self._client.read()
                self._instances = {one.id: one for one in body.instances}
                self.refresh()
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                log.warning("the list of instances cannot be read: {}", error)
            await trio.sleep(to_s(POLL_INTERVAL_MS))

    def refresh(self) -> None:
        """Give the policy all pools and workspaces anew."""
        state = self._configuration()
        targets = _by_pool(self._live())
        for pool in state.pools:
            limits = PoolLimits(
                pool.max_outstanding, pool.retry_share_percent, pool.hedge_share_percent
            )
            self._policy.update_pool(pool.name, limits, targets[pool.name])
        for workspace in state.workspaces:
            limits = WorkspaceLimits(
                workspace.weight, workspace.rate_per_s, workspace.burst
            )
            self._policy.update_workspace(workspace.name, limits)

    def _live(self) -> Iterable[InstanceBody]:
        for one in self._instances.values():
            left = self._leaving.get(one.id, -1) >= one.incarnation
            if one.role == "target" and one.state == "live" and not left:
                yield one


def _by_pool(instances: Iterable[InstanceBody]) -> dict[str, list[TargetView]]:
    pools: dict[str, list[TargetView]] = defaultdict(list)
    for one in instances:
        view = TargetView(
            target=TargetId(one.id),
            incarnation=Incarnation(one.incarnation),
            pool=PoolName(one.pool),
            data_centre=DataCentreId(one.data_centre),
            region=RegionId(one.region),
            url=one.url,
        )
        pools[one.pool].append(view)
    return pools
