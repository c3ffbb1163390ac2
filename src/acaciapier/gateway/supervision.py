"""Background tasks whose exceptions are reported and do not end the process."""

from collections.abc import Callable

import trio

from ..core.tasks import run_reported


class TaskSupervisor:
    """Starts tasks in a nursery and reports their exceptions instead of raising them.

    Parameters
    ----------
    nursery : trio.Nursery
        Nursery in which the tasks run.
    report : callable
        Called with the exception of a failed task.
    """

    def __init__(self, nursery: trio.Nursery, report: Callable[[Exception], None]):
        self._nursery = nursery
        self._report = report

    def start_soon(self, task, *args) -> None:
        """Start `task(*args)` in the background."""
        self._nursery.start_soon(run_reported, self._report, task, *args)


RESTART_DELAY_S = 0.5
"""Delay before a service loop is restarted after a failure."""


async def run_forever(task, report: Callable[[Exception], None], *args) -> None:
    """Run `task` for the lifetime of the process, and restart it when it ends."""
    while True:
        await run_reported(report, task, *args)
        await trio.sleep(RESTART_DELAY_S)
