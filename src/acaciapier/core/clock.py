"""Clocks that are passed to every component that depends on time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio

MILLISECONDS_PER_SECOND = 1000.0


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""

    def monotonic_s(self) -> float:
        """Return a time in seconds that never goes backwards."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return the seconds of the monotonic clock."""
        return time.monotonic()


class BootClock:
    """The system's clocks; the monotonic one includes time in suspension."""

    def now(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return the seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrioClock:
    """Clock of the running trio loop, so that `trio.testing.MockClock` drives it.

    Parameters
    ----------
    epoch : datetime, optional
        Wall-clock time at construction; the system's time by default.
    """

    def __init__(self, epoch: datetime | None = None):
        self._epoch = epoch or datetime.now(UTC)
        self._start_s = trio.current_time()

    def now(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""
        return self._epoch + timedelta(seconds=trio.current_time() - self._start_s)

    def monotonic_s(self) -> float:
        """Return the loop's time in seconds."""
        return trio.current_time()


class ManualClock:
    """Clock that moves only through `advance`, for tests and replays.

    Parameters
    ----------
    epoch : datetime, optional
        Wall-clock time at construction.
    """

    def __init__(self, epoch: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._epoch = epoch
        self._elapsed_s = 0.0

    def now(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""
        return self._epoch + timedelta(seconds=self._elapsed_s)

    def monotonic_s(self) -> float:
        """Return the seconds by which the clock was advanced."""
        return self._elapsed_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        if seconds < 0:
            raise ValueError(f"a clock cannot go back by {-seconds} s")
        self._elapsed_s += seconds


def to_ms(seconds: float) -> float:
    """Convert seconds to milliseconds."""
    return seconds * MILLISECONDS_PER_SECOND


def to_s(milliseconds: float) -> float:
    """Convert milliseconds to seconds."""
    return milliseconds / MILLISECONDS_PER_SECOND


def epoch_ms(moment: datetime) -> int:
    """Return the whole milliseconds between the Unix epoch and `moment`."""
    return int(moment.timestamp() * MILLISECONDS_PER_SECOND)
