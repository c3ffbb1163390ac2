"""Queue of the requests that wait for a slot at the workers of one service.

Handles bursts: requests wait here, ordered by priority, fair share and due time, and
not in the queue of a worker that happens to be slow.
"""

from collections.abc import Callable, Collection, Iterator

from .slot_requests import SlotRequest
from .workspace_shares import WorkspaceShares

CERTAIN_WAIT_SHARE = 0.8
"""Share of the wait for those ahead that is certain: some of them are cancelled."""


class SlotQueue:
    """Requests that wait for a slot."""

    def __init__(self):
        self._waiting: list[SlotRequest] = []
        self._shares = WorkspaceShares()

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[SlotRequest]:
        return iter(self._waiting)

    def add(self, request: SlotRequest) -> None:
        """Add a request."""
        self._waiting.append(request)

    def remove(self, request: SlotRequest, cost: float, now_s: float) -> None:
        """Remove a request that got its slot, and count its expected cost."""
        self._waiting.remove(request)
        self._shares.record(request.kind.workspace, cost, now_s)

    def above_share(
        self, now_s: float, request: SlotRequest | None = None
    ) -> Collection[str]:
        """Return the workspaces above their share that wait, with that of a request."""
        workspaces = {waiting.kind.workspace for waiting in self._waiting}
        if request is not None:
            workspaces.add(request.kind.workspace)
        return self._shares.above(workspaces, now_s)

    def pop_all(self) -> list[SlotRequest]:
        """Remove and return all requests."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def pop(self, condition: Callable[[SlotRequest], bool]) -> list[SlotRequest]:
        """Remove and return the requests that meet a condition."""
        popped, kept = [], []
        for request in self._waiting:
            (popped if condition(request) else kept).append(request)
        self._waiting = kept
        return popped

    def pop_hopeless(self, rate_per_ms: float, now_s: float) -> list[SlotRequest]:
        """Remove and return the requests that a rate leaves no time for.

        Limits that are named while requests wait lower the rate on which their
        admission relied. Broken streams are kept: only some workers may resume them.
        """
        hopeless, kept = [], []
        for request in self.in_order(now_s):
            start_s = now_s + CERTAIN_WAIT_SHARE * len(kept) / rate_per_ms / 1_000.0
            late = start_s > request.expires_s and not request.begun
            (hopeless if late else kept).append(request)
        self._waiting = kept
        return hopeless

    def in_order(self, now_s: float) -> list[SlotRequest]:
        """Return the requests in the order in which they get slots."""
        above = self.above_share(now_s)
        self._waiting.sort(key=lambda waiting: waiting.urgency(now_s, above))
        return list(self._waiting)

    def count_ahead(
        self,
        request: SlotRequest,
        counts: Callable[[SlotRequest], bool],
        now_s: float,
    ) -> int:
        """Return how many waiting requests that count go before a new one."""
        above = self.above_share(now_s, request)
        if request.kind.workspace in above:
            above = ()
        return sum(
            (
                waiting.priority < request.priority
                or (
                    waiting.priority == request.priority
                    and waiting.kind.workspace not in above
                )
            )
            and counts(waiting)
            for waiting in self._waiting
        )
