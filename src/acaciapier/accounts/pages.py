"""Account pages, and the idempotent merge of reports into them."""

from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash

from ..core.ids import Incarnation, InstanceId
from ..wire.messages.accounts import AccountEntry, AccountReport, CostKey, CostTotal

ACCOUNT_KIND = "accounts"
DEFAULT_SHARDS = 64


class MergedMark(msgspec.Struct, frozen=True, array_like=True):
    """The highest sequence number merged from one incarnation."""

    instance: InstanceId
    incarnation: Incarnation
    sequence: int


class AccountPage(msgspec.Struct, frozen=True):
    """Totals of one hour and shard, and marks of the reports merged into them."""

    marks: tuple[MergedMark, ...] = ()
    entries: tuple[AccountEntry, ...] = ()


def page_name(hour: int, shard: int) -> str:
    """Return the name of the object that stores a page."""
    return f"{hour}.{shard:03d}"


def page_from_value(value: Any) -> AccountPage:
    """Return the page stored in the value of an object."""
    return msgspec.convert(value, AccountPage)


def shard_of(workspace: str, shards: int = DEFAULT_SHARDS) -> int:
    """Return the shard that stores the costs of a workspace."""
    return xxhash.xxh3_64_intdigest(workspace.encode()) % shards


def split_report(
    report: AccountReport, shards: int = DEFAULT_SHARDS
) -> dict[int, AccountReport]:
    """Split a report by shard."""
    parts: dict[int, list[AccountEntry]] = {}
    for entry in report.entries:
        parts.setdefault(shard_of(entry.key.workspace, shards), []).append(entry)
    return {
        shard: msgspec.structs.replace(report, entries=tuple(entries))
        for shard, entries in parts.items()
    }


def merge_reports(page: AccountPage, reports: Iterable[AccountReport]) -> AccountPage:
    """Add the reports that the page does not contain yet.

    Merging a report again changes nothing. The reports of one incarnation must be
    passed in order, and each call must include all that are not yet confirmed.

    Returns
    -------
    AccountPage
        The new page, or `page` itself if it already contains all of the reports.
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
    """Add `entries` to `totals` in place."""
    for entry in entries:
        totals[entry.key] = totals.get(entry.key, CostTotal()).plus(entry.total)
