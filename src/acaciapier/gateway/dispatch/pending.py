"""An answer that a task waits for and other code gives."""

from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Pending(Generic[T]):
    """An answer that is given once."""

    def __init__(self):
        self._given = trio.Event()
        self._values: list[T] = []

    def give(self, value: T) -> None:
        """Give the answer; further ones are dropped."""
        self._values.append(value)
        self._given.set()

    async def wait(self) -> T:
        """Return the answer as soon as it is given."""
        await self._given.wait()
        return self._values[0]
