"""A result that one task waits for and other code sets."""

from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Future(Generic[T]):
    """A result that is set once."""

    def __init__(self):
        self._result_set = trio.Event()
        self._values: list[T] = []

    def set_result(self, value: T) -> None:
        """Set the result; later results are ignored."""
        self._values.append(value)
        self._result_set.set()

    async def wait(self) -> T:
        """Return the result as soon as it is set."""
        await self._result_set.wait()
        return self._values[0]
