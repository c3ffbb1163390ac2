"""Pages of accounts and the idempotent merge of reports into them."""

from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash

from ..core.ids import Incarnation, InstanceId
from ..wire.messages.accounts import AccountEntry, AccountReport, CostKey, CostTotal

ACCOUNT_KIND = "accounts"
DEFAULT_SHARDS = 64


class MergedMark(msgspec.Struct, frozen=True, array_like=True):
    """The highest sequence number merged of one incarnation."""

    instance: InstanceId
    incarnation: Incarnation
    sequence: int


class AccountPage(msgspec.Struct, frozen=True):
    """The totals of one hour and shard, and which reports they hold."""

    marks: tuple[MergedMark, ...] = ()
    entries: tuple[AccountEntry, ...] = ()


def page_name(hour: int, shard: int) -> str:
    """Return the name of a page's object."""
    return f"{hour}.{shard:03d}"


def page_from_value(value: Any) -> AccountPage:
    """Build a page from the value of its object."""
    return msgspec.convert(value, AccountPage)


def shard_of(workspace: str, shards: int = DEFAULT_SHARDS) -> int:
    """Return the shard that a workspace's costs are kept in."""
    return xxhash.xxh3_64_intdigest(workspace.encode()) % shards


def split_report(
    report: AccountReport, shards: int = DEFAULT_SHARDS
) -> dict[int, AccountReport]:
    """Return the parts of a report by shard."""
    parts: dict[int, list[AccountEntry]] = {}
    for entry in report.entries:
        parts.setdefault(shard_of(entry.key.workspace, shards), []).append(entry)
    return {
        shard: msgspec.structs.replace(report, entries=tuple(entries))
        for shard, entries in parts.items()
    }


def merge_reports(page: AccountPage, reports: Iterable[AccountReport]) -> AccountPage:
    """Add the reports that the page does not hold yet.

    Merging a report again changes nothing. The reports of one incarnation must
    come in order, each call with all that are not yet confirmed.

    Returns
    -------
    AccountPage
        The same object if it holds all of them already.
    """
    marks = {(mark.instance, mark.incarnation): mark.sequence for mark in page.marks}
    totals = {entry.key: entry.total for entry in page.entries}
    changed = False
    for report in reports:
        source = (report.instance, report.incarnation)
        if report.sequence <= marks.get(source, 0):
            continue
        marks[source] = report.sequence
        add_entries(totals, report.entries)
        changed = True
    if not changed:
        return page
    return AccountPage(
        tuple(MergedMark(*source, marks[source]) for source in sorted(marks)),
        tuple(AccountEntry(key, totals[key]) for key in sorted(totals)),
    )


def add_entries(
    totals: dict[CostKey, CostTotal], entries: Iterable[AccountEntry]
) -> None:
    """Add `entries` to `totals`."""
    for entry in entries:
        totals[entry.key] = totals.get(entry.key, CostTotal()).plus(entry.total)
