"""Fair shares of workspaces in what the workers of one service do.

Handles overloads in which workspaces compete: without shares, each is served in
proportion to its requests, and one that sends many takes the time of all others.
"""

import math
from collections.abc import Collection, Iterable

MEMORY_S = 3.0
"""Time in which what a workspace used falls to a third: some requests of a small
workspace, and shorter than callers wait for most answers."""

FORGOTTEN_S = 10 * MEMORY_S
"""Age of a workspace's last request at which it counts as without use."""

MAX_WORKSPACES = 2_000
"""Workspaces that are remembered; the one whose last request is oldest goes first."""

TOLERANCE = 1.1
"""Multiple of its fair share that a workspace may use before it waits for others."""


class WorkspaceShares:
    """Tells which workspaces use more than their fair share.

    That is the average use of the workspaces that wait: what others leave goes to all
    of them. Use is expected cost, in a unit of the caller's.
    """

    def __init__(self):
        self._used: dict[str, tuple[float, float]] = {}
        """What each workspace used, and when that was last reduced; oldest first."""

    def record(self, workspace: str, cost: float, now_s: float) -> None:
        """Count a request that is begun."""
        used = self._use(workspace, now_s) + cost
        self._used.pop(workspace, None)
        self._used[workspace] = (used, now_s)
        if len(self._used) > MAX_WORKSPACES:
            del self._used[next(iter(self._used))]

    def above(self, waiting: Iterable[str], now_s: float) -> Collection[str]:
        """Return which of the workspaces with waiting requests are above their share.

        Nobody is if only one workspace waits.
        """
        used = {name: self._use(name, now_s) for name in set(waiting)}
        if len(used) < 2:
            return ()
        share = sum(used.values()) / len(used)
        return {name for name, use in used.items() if use > TOLERANCE * share}

    def _use(self, workspace: str, now_s: float) -> float:
        used, at_s = self._used.get(workspace, (0.0, now_s))
        age_s = max(0.0, now_s - at_s)
        return used * math.exp(-age_s / MEMORY_S) if age_s < FORGOTTEN_S else 0.0
