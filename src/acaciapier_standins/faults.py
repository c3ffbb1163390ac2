"""Fault injection that can be reconfigured at run time."""

import random
from enum import Enum
from typing import Annotated, Any

import trio
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from acaciapier.core.clock import to_s

from .http import ConnectionAborted, Request, Response, retry_after


class Outage(Enum):
    """Behaviour of a stand-in during an outage."""

    NONE = "none"
    ERROR = "error"
    HANG = "hang"


class Garbage(Enum):
    """Form of a corrupt answer: undecodable bytes, or valid JSON with wrong content."""

    BYTES = "bytes"
    IDENTITY = "identity"


class Dial(BaseModel):
    """Which answers a fault affects: a random share, or the next `next` answers."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    share: float = Field(default=0.0, ge=0, le=1)
    next: int = Field(default=0, ge=0)


def _parse_dial(value: Any) -> Any:
    """Accept true for always, false for never, and an integer for `next`."""
    if isinstance(value, bool):
        return Dial(share=float(value))
    if isinstance(value, int):
        return Dial(next=value)
    return value


DialField = Annotated[Dial, BeforeValidator(_parse_dial)]


class Faults(BaseModel):
    """Configured faults; each kind of stand-in ignores those it does not support."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    outage: Outage = Outage.NONE
    delay_ms: float = Field(default=0.0, ge=0)
    lost: DialField = Dial()
    stale_ms: float = Field(default=0.0, ge=0)
    lag_ms: float | None = Field(default=None, ge=0)
    slow_factor: float = Field(default=1.0, gt=0)
    refuse: DialField = Dial()
    fail: DialField = Dial()
    hang: DialField = Dial()
    garbage: DialField = Dial()
    garbage_form: Garbage = Garbage.BYTES
    doubled: DialField = Dial()
    late_ms: float = Field(default=0.0, ge=0)
    cut: DialField = Dial()
    cut_after_tokens: int = Field(default=4, ge=0)
    leaving: bool = False
    crash: bool = False
    crash_on_poison: bool = True


class FaultInjector:
    """Holds the configured faults and decides which answers they affect.

    Parameters
    ----------
    faults : Faults
        Faults configured at startup.
    rng : random.Random
        Random source for faults that affect a share of answers.
    """

    def __init__(self, faults: Faults, rng: random.Random):
        self.current = faults
        self._random = rng

    def change(self, patch: dict[str, Any]) -> Faults:
        """Merge `patch` into the current faults; `{"reset": true}` clears them first.

        Raises
        ------
        pydantic.ValidationError
            If a fault is unknown or out of bounds; the faults stay unchanged.
        """
        patch = dict(patch)
        base = {} if patch.pop("reset", False) else self.current.model_dump()
        self.current = Faults.model_validate({**base, **patch})
        return self.current

    def draw(self, name: str) -> bool:
        """Decide whether the fault `name` affects this answer; may decrement `next`."""
        dial: Dial = getattr(self.current, name)
        if dial.next > 0:
            remaining = dial.model_copy(update={"next": dial.next - 1})
            self.current = self.current.model_copy(update={name: remaining})
            return True
        return dial.share > 0 and self._random.random() < dial.share

    async def apply_outage_or_delay(self, request: Request) -> Response | None:
        """Apply the configured outage or delay; return the error answer, if any."""
        if self.current.outage is Outage.HANG:
            await hang(request)
        if self.current.outage is Outage.ERROR:
            return retry_after(503, "unavailable", 1)
        if self.current.delay_ms:
            await trio.sleep(to_s(self.current.delay_ms))
        return None

    async def hang_if_drawn(self, request: Request) -> None:
        """Leave the call unanswered if the fault `hang` affects it."""
        if self.draw("hang"):
            await hang(request)

    def drop_answer_if_drawn(self) -> None:
        """Abort the connection if the fault `lost` affects this answer."""
        if self.draw("lost"):
            raise ConnectionAborted


async def hang(request: Request) -> None:
    """Wait until the caller disconnects, without answering `request`."""
    await request.wait_for_disconnect()
    raise ConnectionAborted
