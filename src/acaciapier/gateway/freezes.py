"""Detection of pauses of the whole process."""

from collections.abc import Callable

import trio

from ..core.clock import Clock, to_s

MIN_FREEZE_MS = 600.0
"""Pause of the event loop from which the process counts as frozen and its state as
outdated."""

FREEZE_CHECK_PERIOD_MS = 100.0
"""Period of checking for a process freeze."""


async def detect_freezes(
    clock: Clock, log: Callable[..., None], on_freeze: Callable[[], None]
) -> None:
    """Call `on_freeze` after each process freeze, until cancelled."""
    last_s = clock.monotonic_s()
    while True:
        await trio.sleep(to_s(FREEZE_CHECK_PERIOD_MS))
        now_s = clock.monotonic_s()
        gap_ms = (now_s - last_s) * 1_000.0
        if gap_ms > MIN_FREEZE_MS:
            log("stood_still", gap_ms=round(gap_ms))
            on_freeze()
        last_s = now_s
