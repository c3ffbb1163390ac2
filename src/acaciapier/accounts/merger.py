"""Group commit of cost reports into stored pages, by conditional update."""

from random import Random

import trio

from ..claims.interfaces import ClaimStore
from ..core.clock import to_s
from ..exceptions import StoreError, StoreUnavailable, VersionConflict
from ..store import Purpose
from ..wire.messages.accounts import AccountReport
from .pages import (
    ACCOUNT_KIND,
    AccountPage,
    merge_reports,
    page_from_value,
    page_name,
)

MERGE_INTERVAL_MS = 10_000.0
MAX_MERGE_ATTEMPTS = 5
RETRY_DELAY_MS = 50.0


class _PageGroup:
    """Reports waiting for the next commit of one page."""

    def __init__(self):
        self.reports: list[AccountReport] = []
        self.merged = False
        self.done = trio.Event()


class PageMerger:
    """Collects reports, and writes each page at most once per interval.

    Urgent reports are written immediately.

    Parameters
    ----------
    store : ClaimStore
        Client of the object API.
    random : Random
        Source of jitter.
    """

    def __init__(self, store: ClaimStore, random: Random):
        self._store = store
        self._random = random
        self._groups: dict[tuple[int, int], _PageGroup] = {}

    async def merge(
        self, hour: int, shard: int, reports: tuple[AccountReport, ...], urgent: bool
    ) -> bool:
        """Merge reports with the page's next commit; return whether it succeeded."""
        group = self._groups.setdefault((hour, shard), _PageGroup())
        group.reports.extend(reports)
        if urgent:
            await self._commit(hour, shard)
        await group.done.wait()
        return group.merged

    async def run(self) -> None:
        """Commit all pages once per interval until cancelled."""
        while True:
            jitter = self._random.uniform(0.8, 1.2)
            await trio.sleep(to_s(MERGE_INTERVAL_MS * jitter))
            for hour, shard in list(self._groups):
                await self._commit(hour, shard)

    async def _commit(self, hour: int, shard: int) -> None:
        group = self._groups.pop((hour, shard), None)
        if group is None:
            return
        try:
            group.merged = await self._merge_page(page_name(hour, shard), group.reports)
        except StoreError:
            group.merged = False
        finally:
            group.done.set()

    async def _merge_page(self, name: str, reports: list[AccountReport]) -> bool:
        """Read, merge and write until the page contains all reports.

        A lost answer needs no special handling: the page is read again, and reports
        already merged are detected by their sequence numbers.
        """
        for _ in range(MAX_MERGE_ATTEMPTS):
            stored = await self._store.get(ACCOUNT_KIND, name, purpose=Purpose.ACCOUNTS)
            page = page_from_value(stored.value) if stored else AccountPage()
            merged = merge_reports(page, reports)
            if merged is page:
                return True
            version = stored.version if stored else 0
            try:
                await self._store.put(
                    ACCOUNT_KIND, name, merged, version, purpose=Purpose.ACCOUNTS
                )
            except (VersionConflict, StoreUnavailable):
                await trio.sleep(to_s(RETRY_DELAY_MS * self._random.uniform(0.5, 1.5)))
            else:
                return True
        return False
