"""Reads the cost accounts for operators."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..claims.interfaces import ClaimStore
from ..store import Purpose
from ..wire.messages.accounts import AccountEntry, CostKey, CostTotal
from .pages import ACCOUNT_KIND, add_entries, page_from_value, page_name, shard_of


@dataclass(frozen=True)
class CostTable:
    """Cost totals by key over a set of hours.

    Examples
    --------
    >>> table = await read_costs(store, [hour], workspace="kartvel-banks")
    >>> for entry in table.entries:
    ...     print(entry.key.stage, entry.total.service_ms)
    """

    entries: tuple[AccountEntry, ...]

    def total(self) -> CostTotal:
        """Return the sum over all entries."""
        total = CostTotal()
        for entry in self.entries:
            total = total.plus(entry.total)
        return total

    def by(self, *fields: str) -> dict[tuple[str, ...], CostTotal]:
        """Return totals grouped by fields of `CostKey`, such as ``stage_kind``."""
        totals: dict[tuple[str, ...], CostTotal] = {}
        for entry in self.entries:
            group = tuple(getattr(entry.key, field) for field in fields)
            totals[group] = totals.get(group, CostTotal()).plus(entry.total)
        return dict(sorted(totals.items()))


async def read_costs(
    store: ClaimStore, hours: Iterable[int], workspace: str | None = None
) -> CostTable:
    """Read the pages of `hours`, which count from the Unix epoch.

    Makes one store call for each hour.
    """
    totals: dict[CostKey, CostTotal] = {}
    for hour in hours:
        prefix = _prefix_of(hour, workspace)
        listing = await store.list(ACCOUNT_KIND, prefix, purpose=Purpose.ACCOUNTS)
        for stored in listing.items:
            add_entries(totals, page_from_value(stored.value).entries)
    return CostTable(
        tuple(
            AccountEntry(key, totals[key])
            for key in sorted(totals)
            if workspace is None or key.workspace == workspace
        )
    )


def _prefix_of(hour: int, workspace: str | None) -> str:
    if workspace is None:
        return f"{hour}."
    return page_name(hour, shard_of(workspace))
