"""The two deployments of the brief, as pools of fake targets and a pipeline."""

import math
from dataclasses import dataclass

from acaciapier.objects.models import Pipeline, Stage, StageKind

DEADLINE_MS = 3_000


@dataclass(frozen=True)
class PoolPlan:
    """A pool of equal targets; service times are lognormal."""

    name: str
    kind: StageKind
    targets: int
    slots: int
    median_ms: float
    sigma: float = 0.4

    @property
    def mean_ms(self) -> float:
        """Mean service time."""
        return self.median_ms * math.exp(self.sigma**2 / 2)

    @property
    def capacity_per_s(self) -> float:
        """Calls that all targets together can end in a second."""
        return self.targets * self.slots / self.mean_ms * 1_000.0


@dataclass(frozen=True)
class Deployment:
    """Pools, the pipeline over them, and the data centres."""

    name: str
    data_centres: tuple[str, ...]
    pools: tuple[PoolPlan, ...]
    needs: dict[str, tuple[str, ...]]
    entries: int = 9

    @property
    def capacity_per_s(self) -> float:
        """Requests that the scarcest pool can serve in a second."""
        return min(pool.capacity_per_s for pool in self.pools)

    @property
    def pipeline(self) -> Pipeline:
        """The pipeline, with one stage for each pool."""
        stages = tuple(
            Stage(
                name=pool.name,
                kind=pool.kind,
                pool=pool.name,
                needs=self.needs.get(pool.name, ()),
                typical_ms=pool.median_ms,
            )
            for pool in self.pools
        )
        return Pipeline(name="measured", stages=stages, deadline_ms=DEADLINE_MS)

    def pool(self, name: str) -> PoolPlan:
        """Return the pool called `name`."""
        return next(pool for pool in self.pools if pool.name == name)


RIVIERE_NOIRE = Deployment(
    "riviere-noire",
    ("rn-a", "rn-b", "rn-c"),
    (
        PoolPlan("encode", StageKind.ENCODE, 3, 8, 15.0),
        PoolPlan("order-book", StageKind.SERVICE, 3, 16, 10.0),
        PoolPlan("retrieve", StageKind.RETRIEVE, 3, 8, 25.0),
        PoolPlan("rerank", StageKind.RERANK, 3, 8, 30.0),
        PoolPlan("generate", StageKind.GENERATE, 10, 4, 700.0),
    ),
    {
        "retrieve": ("encode",),
        "rerank": ("retrieve",),
        "generate": ("rerank", "order-book"),
    },
)

KARTVEL = Deployment(
    "kartvel",
    ("tb-a", "tb-b", "tb-c", "tb-d"),
    (
        PoolPlan("encode", StageKind.ENCODE, 4, 8, 15.0),
        PoolPlan("registry", StageKind.SERVICE, 4, 8, 60.0),
        PoolPlan("sanctions", StageKind.SERVICE, 4, 8, 60.0),
        PoolPlan("retrieve", StageKind.RETRIEVE, 4, 8, 80.0),
        PoolPlan("rerank", StageKind.RERANK, 4, 8, 120.0),
        PoolPlan("generate", StageKind.GENERATE, 5, 8, 700.0),
    ),
    {
        "retrieve": ("encode",),
        "rerank": ("retrieve",),
        "generate": ("rerank", "registry", "sanctions"),
    },
)

DEPLOYMENTS = {one.name: one for one in (RIVIERE_NOIRE, KARTVEL)}
