"""Lifecycle of a process: owns resources, runs tasks and stops them in order."""

import os
import signal
from collections.abc import Awaitable, Callable, Collection
from contextlib import AsyncExitStack
from dataclasses import dataclass
from enum import Enum

import trio

from ..observability import get_logger

log = get_logger("acaciapier.app")

StopAction = Callable[[], Awaitable[None]]

FORCED_EXIT_STATUS = 130


class State(Enum):
    """Lifecycle state of an application."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"


@dataclass(frozen=True)
class StopHook:
    """An action run on graceful stop, with a name for the log."""

    name: str
    action: StopAction


class Application:
    """Runs background tasks until a stop is requested, then the stop hooks in order.

    The first SIGTERM or SIGINT starts the graceful stop: hooks run in the order
    in which they were added, then tasks are cancelled, then resources are closed
    in reverse order. A further signal exits the process immediately if it is one of
    `exit_signals`.

    Parameters
    ----------
    name : str
        Name for the log.
    exit_signals : collection of signal.Signals
        Signals that exit a process that is already stopping.

    Examples
    --------
    >>> app = Application("entry")
    >>> app.on_stop("drain", service.drain)  # doctest: +SKIP
    >>> trio.run(app.run, start)  # doctest: +SKIP
    """

    def __init__(
        self,
        name: str,
        exit_signals: Collection[signal.Signals] = (signal.SIGTERM, signal.SIGINT),
    ):
        self.name = name
        self._exit_signals = exit_signals
        self.state = State.STARTING
        self.resources = AsyncExitStack()
        self.stop_requested = trio.Event()
        self.stopped = trio.Event()
        self._stop_hooks: list[StopHook] = []

    def on_stop(self, name: str, action: StopAction) -> None:
        """Register a hook to run on graceful stop."""
        self._stop_hooks.append(StopHook(name, action))

    def stop(self) -> None:
        """Request the graceful stop."""
        self.stop_requested.set()

    async def run(
        self,
        start: Callable[["Application", trio.Nursery], Awaitable[None]],
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Call `start`, run until a stop is requested, and clean up."""
        async with self.resources:
            async with trio.open_nursery() as nursery:
                await start(self, nursery)
                self.state = State.RUNNING
                log.info("{} is running", self.name)
                task_status.started()
                await self.stop_requested.wait()
                await self._stop()
                nursery.cancel_scope.cancel()
        log.info("{} has stopped", self.name)

    async def watch_signals(self) -> None:
        """Stop gracefully on the first signal; exit on a further exit signal."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for signal_number in signals:
                stopping = self.stop_requested.is_set()
                if stopping and signal_number not in self._exit_signals:
                    log.info("{} is already stopping", self.name)
                    continue
                if stopping:
                    log.warning(
                        "{} exits immediately on signal {}", self.name, signal_number
                    )
                    os._exit(FORCED_EXIT_STATUS)
                log.info(
                    "{} received signal {}, stopping gracefully",
                    self.name,
                    signal_number,
                )
                self.stop()

    async def _stop(self) -> None:
        self.state = State.STOPPING
        for hook in self._stop_hooks:
            try:
                await hook.action()
            except Exception:
                log.exception("{}: stop hook {} failed", self.name, hook.name)
        self.state = State.STOPPED
        self.stopped.set()
