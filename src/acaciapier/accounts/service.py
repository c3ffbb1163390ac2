"""Sends the cost reports of an instance to the owners of their shards."""

from random import Random

import trio

from ..claims.committer_selector import CommitterSelector
from ..claims.interfaces import ClaimStore, MembershipView, PeerNetwork
from ..claims.partition import Partitioner
from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..wire.messages.accounts import AccountReport, MergeAnswer, MergeReports
from .ledger import Ledger
from .merger import MERGE_INTERVAL_MS, PageMerger
from .pages import DEFAULT_SHARDS, split_report

REPORT_INTERVAL_MS = 10_000.0
ANSWER_TIMEOUT_MS = 2.0 * MERGE_INTERVAL_MS
MAX_PENDING_REPORTS = 16

PageId = tuple[int, int]
"""Hour and shard."""


class AccountService:
    """Merges the ledger's reports into stored pages, each exactly once.

    Each part of a report is kept until its page is confirmed to contain it. In an
    outage at most `MAX_PENDING_REPORTS` reports are kept for sending, and the ledger
    continues to count in memory.

    Parameters
    ----------
    instance : InstanceId
        Id of this instance.
    ledger : Ledger
        Its cost counters.
    store, peers, membership, clock, random
        As for `ClaimService`.
    """

    def __init__(
        self,
        instance: InstanceId,
        ledger: Ledger,
        store: ClaimStore,
        peers: PeerNetwork,
        membership: MembershipView,
        clock: Clock,
        random: Random,
    ):
        self._ledger = ledger
        self._peers = peers
        self._random = random
        self._merger = PageMerger(store, random)
        self._committer_selector = CommitterSelector(
            instance, Partitioner(DEFAULT_SHARDS), membership, clock
        )
        self._pending: dict[PageId, list[AccountReport]] = {}
        peers.register(MergeReports, self._on_merge)

    async def run(self) -> None:
        """Send and merge reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._merger.run)
            while True:
                jitter = self._random.uniform(0.8, 1.2)
                await trio.sleep(to_s(REPORT_INTERVAL_MS * jitter))
                await self.send(urgent=False)

    async def flush(self) -> None:
        """Send all recorded costs without waiting for the interval, on shutdown."""
        await self.send(urgent=True)

    async def send(self, urgent: bool) -> None:
        """Close the interval and send all unconfirmed reports."""
        self._close_interval()
        async with trio.open_nursery() as nursery:
            for page_id, reports in list(self._pending.items()):
                nursery.start_soon(self._send_page, page_id, tuple(reports), urgent)

    def _close_interval(self) -> None:
        pending_sequences = {
            r.sequence for parts in self._pending.values() for r in parts
        }
        if len(pending_sequences) >= MAX_PENDING_REPORTS:
            return
        report = self._ledger.close_interval()
        if report is None:
            return
        for shard, part in split_report(report).items():
            self._pending.setdefault((report.hour, shard), []).append(part)

    async def _send_page(
        self, page_id: PageId, reports: tuple[AccountReport, ...], urgent: bool
    ) -> None:
        if not await self._merge(page_id, reports, urgent):
            return
        unconfirmed = [
            part for part in self._pending.get(page_id, ()) if part not in reports
        ]
        if unconfirmed:
            self._pending[page_id] = unconfirmed
        else:
            self._pending.pop(page_id, None)

    async def _merge(
        self, page_id: PageId, reports: tuple[AccountReport, ...], urgent: bool
    ) -> bool:
        """Merge through the owner of the shard, or directly if it is unreachable."""
        hour, shard = page_id
        for peer in self._committer_selector.committers_of(shard)[:1]:
            message = MergeReports(hour, shard, reports, urgent)
            try:
                answer = await self._peers.call(peer, message, ANSWER_TIMEOUT_MS)
            except PeerUnavailable:
                self._committer_selector.suspect(peer)
                continue
            return isinstance(answer, MergeAnswer) and answer.merged
        with trio.move_on_after(to_s(ANSWER_TIMEOUT_MS)):
            return await self._merger.merge(hour, shard, reports, urgent)
        return False

    async def _on_merge(self, peer: InstanceId, message: MergeReports) -> MergeAnswer:
        with trio.move_on_after(to_s(ANSWER_TIMEOUT_MS)):
            merged = await self._merger.merge(
                message.hour, message.shard, message.reports, message.urgent
            )
            return MergeAnswer(merged)
        return MergeAnswer(False)
