"""First configuration of a local deployment."""

import random
from typing import Any

from acaciapier.configuration import (
    ConfigurationLog,
    ObjectKey,
    Replace,
    RequestedChange,
    RequestedEdit,
)
from acaciapier.core.clock import SystemClock
from acaciapier.exceptions import AcaciapierError
from acaciapier.store import ObjectStore, StoreBudget

AUTHOR = "local deployment"


async def seed_configuration(store_url: str, objects: list[dict[str, Any]]) -> None:
    """Have all `objects` accepted as one change of an empty configuration."""
    clock = SystemClock()
    rng = random.Random(0)
    edits = tuple(
        RequestedEdit(ObjectKey(one["kind"], one["name"]), 0, Replace(one))
        for one in objects
    )
    async with ObjectStore(store_url, StoreBudget(), clock, rng) as store:
        log = ConfigurationLog(store, clock, rng)
        answer = await log.submit(RequestedChange("seed", AUTHOR, edits))
    if answer.is_err():
        raise AcaciapierError(str(answer.unwrap_err()))
