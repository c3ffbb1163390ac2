"""Background tasks whose faults are logged and do not end the process."""

from collections.abc import Callable

import trio


class TaskSupervisor:
    """Starts tasks like a nursery; a fault in one of them is logged.

    Parameters
    ----------
    nursery : trio.Nursery
        Where the tasks run.
    report : callable
        Told the exception of a task that failed.
    """

    def __init__(self, nursery: trio.Nursery, report: Callable[[Exception], None]):
        self._nursery = nursery
        self._report = report

    def start_soon(self, task, *args) -> None:
        """Start a task."""
        self._nursery.start_soon(self._run, task, args)

    async def _run(self, task, args) -> None:
        try:
            await task(*args)
        except Exception as error:
            self._report(error)


RESTART_AFTER_S = 0.5
"""Pause before a service loop that failed begins again."""


async def run_forever(task, report: Callable[[Exception], None], *args) -> None:
    """Run a loop that is to last as long as the process; begin again if it fails."""
    while True:
        try:
            await task(*args)
        except Exception as error:
            report(error)
        await trio.sleep(RESTART_AFTER_S)
