"""What a remote dispatcher has to be told of the permits that an instance accepted.

Handles overload, when many requests end while their grant is on its way. A dispatcher
takes back the slot of a grant that is not confirmed soon: its answer may have been
lost, or have met the end of the request. A permit is confirmed by the first part of its
answer, by the next request to the same dispatcher, or by a list of the held permits if
neither comes in time. Lists also end the slots of permits whose end was lost.
"""

import math
from collections.abc import Callable, Iterable

import trio

from ...core.clock import Clock, to_s
from ...core.ids import InstanceId

UNACCEPTED_PERMIT_TTL_MS = 1_000.0
"""Time after which a dispatcher takes back a slot whose grant is not confirmed. A grant
may not be used later anyway."""

CONFIRM_AFTER_MS = 350.0
"""Age from which an unconfirmed permit is confirmed by a list of the held ones. Most
requests have their first part before."""

CONFIRM_PERIOD_MS = 150.0
"""Period of looking for such permits; with the age above it leaves half of the time of
a grant to its way and that of the list."""

LIST_PERIOD_MS = 1_000.0
"""Period of listing the held permits to a dispatcher that grants some. It takes back
the others, whose end did not reach it; one message a second is little beside them."""

QUIET_MS = 1_250.0
"""Time without a permit after which the last list is sent: a list says nothing about
the grants of the last second."""

QUIET_PERIODS = math.ceil((QUIET_MS + LIST_PERIOD_MS) / CONFIRM_PERIOD_MS) + 1
"""Periods without a grant, an end or a lost request after which no list is due."""

Key = tuple[str, InstanceId]
"""A service and its dispatcher."""


class PermitConfirmations:
    """What remote dispatchers have to be told of the permits that they granted.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self.uses = 0
        """Number of grants, ends and lost requests that were recorded."""
        self._clock = clock
        self._unconfirmed: dict[str, tuple[Key, float]] = {}
        """Key and time of acceptance by permit."""
        self._last_use_s: dict[Key, float] = {}
        self._next_list_s: dict[Key, float] = {}

    @property
    def pending(self) -> bool:
        """Whether a list will become due."""
        return bool(self._next_list_s)

    def add(self, permit: str, service: str, dispatcher: InstanceId) -> None:
        """Record that a grant of a remote dispatcher was accepted."""
        key = service, dispatcher
        self._unconfirmed[permit] = key, self._clock.monotonic_s()
        self._use(key, LIST_PERIOD_MS)

    def remove(self, permit: str) -> None:
        """Record that another message to the dispatcher confirms a permit."""
        self._unconfirmed.pop(permit, None)

    def end(self, permit: str, service: str, dispatchers: Iterable[InstanceId]) -> None:
        """Record that remote dispatchers were told of the end of a permit."""
        self.remove(permit)
        for dispatcher in dispatchers:
            self._use((service, dispatcher), LIST_PERIOD_MS)

    def lost(self, service: str, dispatcher: InstanceId) -> None:
        """Record that a request, and what it confirmed, may not have arrived."""
        self._use((service, dispatcher), CONFIRM_AFTER_MS)

    def take(self, service: str, dispatcher: InstanceId) -> tuple[str, ...]:
        """Return the permits that a message to a dispatcher confirms."""
        names = tuple(
            name
            for name, (key, _) in self._unconfirmed.items()
            if key == (service, dispatcher)
        )
        for name in names:
            del self._unconfirmed[name]
        return names

    async def run(self, send_list: Callable[[str, InstanceId], None]) -> None:
        """Have lists sent to dispatchers when they are due, until none will be."""
        left, uses = QUIET_PERIODS, self.uses
        while self.pending and left:
            await trio.sleep(to_s(CONFIRM_PERIOD_MS))
            for service, dispatcher in self.pop_due():
                send_list(service, dispatcher)
            left = left - 1 if uses == self.uses else QUIET_PERIODS
            uses = self.uses

    def pop_due(self) -> Iterable[Key]:
        """Return the dispatchers that get a list of the held permits now."""
        now_s = self._clock.monotonic_s()
        oldest_s = now_s - to_s(CONFIRM_AFTER_MS)
        due = {key for key, due_s in self._next_list_s.items() if due_s <= now_s}
        due |= {key for key, at_s in self._unconfirmed.values() if at_s <= oldest_s}
        for key in due:
            self.take(*key)
            if now_s - self._last_use_s[key] >= to_s(QUIET_MS):
                del self._last_use_s[key], self._next_list_s[key]
            else:
                self._next_list_s[key] = now_s + to_s(LIST_PERIOD_MS)
        return due

    def _use(self, key: Key, list_after_ms: float) -> None:
        now_s = self._clock.monotonic_s()
        self.uses += 1
        self._last_use_s[key] = now_s
        due_s = now_s + to_s(list_after_ms)
        self._next_list_s[key] = min(due_s, self._next_list_s.get(key, due_s))
