"""Faults that a stand-in can be told to show at run time."""

import random
from enum import Enum
from typing import Annotated, Any

import trio
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from acaciapier.core.clock import to_s

from .http import ConnectionCut, Request, Response, retry_after


class Outage(Enum):
    """How a stand-in behaves when it is down."""

    NONE = "none"
    ERROR = "error"
    HANG = "hang"


class Garbage(Enum):
    """What a wrong answer looks like."""

    BYTES = "bytes"
    IDENTITY = "identity"


class Dial(BaseModel):
    """How many answers a fault befalls: a share of all, or the next few."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    share: float = Field(default=0.0, ge=0, le=1)
    next: int = Field(default=0, ge=0)


def _dial_of(value: Any) -> Any:
    """Accept true and false for always and never, and an integer for the next few."""
    if isinstance(value, bool):
        return Dial(share=float(value))
    if isinstance(value, int):
        return Dial(next=value)
    return value


Dialled = Annotated[Dial, BeforeValidator(_dial_of)]


class Faults(BaseModel):
    """The faults of one stand-in; a kind ignores those that it cannot show."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    outage: Outage = Outage.NONE
    delay_ms: float = Field(default=0.0, ge=0)
    lost: Dialled = Dial()
    stale_ms: float = Field(default=0.0, ge=0)
    lag_ms: float | None = Field(default=None, ge=0)
    slow_factor: float = Field(default=1.0, gt=0)
    refuse: Dialled = Dial()
    fail: Dialled = Dial()
    hang: Dialled = Dial()
    garbage: Dialled = Dial()
    garbage_form: Garbage = Garbage.BYTES
    doubled: Dialled = Dial()
    late_ms: float = Field(default=0.0, ge=0)
    cut: Dialled = Dial()
    cut_after_tokens: int = Field(default=4, ge=0)
    leaving: bool = False
    crash: bool = False
    crash_on_poison: bool = True


class FaultBoard:
    """The present faults, and the draw whether one befalls the next answer.

    Parameters
    ----------
    faults : Faults
        Faults at the start.
    source : random.Random
        Source of the draws by share.
    """

    def __init__(self, faults: Faults, source: random.Random):
        self.present = faults
        self._random = source

    def change(self, patch: dict[str, Any]) -> Faults:
        """Merge `patch` into the present faults; `{"reset": true}` clears them first.

        Raises
        ------
        pydantic.ValidationError
            If a fault is unknown or out of bounds; nothing changes then.
        """
        patch = dict(patch)
        base = {} if patch.pop("reset", False) else self.present.model_dump()
        self.present = Faults.model_validate({**base, **patch})
        return self.present

    def draw(self, name: str) -> bool:
        """Return whether the fault `name` befalls this answer."""
        dial: Dial = getattr(self.present, name)
        if dial.next > 0:
            rest = dial.model_copy(update={"next": dial.next - 1})
            self.present = self.present.model_copy(update={name: rest})
            return True
        return dial.share > 0 and self._random.random() < dial.share

    async def disturb(self, request: Request) -> Response | None:
        """Apply an outage or a delay; returns the answer of an outage."""
        if self.present.outage is Outage.HANG:
            await hang(request)
        if self.present.outage is Outage.ERROR:
            return retry_after(503, "unavailable", 1)
        if self.present.delay_ms:
            await trio.sleep(to_s(self.present.delay_ms))
        return None

    async def hang_if_drawn(self, request: Request) -> None:
        """Never answer if the fault `hang` befalls this call."""
        if self.draw("hang"):
            await hang(request)

    def lose_answer(self) -> None:
        """Cut the connection if this answer is to be lost."""
        if self.draw("lost"):
            raise ConnectionCut


async def hang(request: Request) -> None:
    """Leave `request` without an answer for as long as its caller waits."""
    await request.wait_for_disconnect()
    raise ConnectionCut
