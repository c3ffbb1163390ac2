"""The interface between the execution of requests and the targets."""

from typing import Protocol

from ..policy.models import TargetView
from .models import CallAnswer, CallEnvelope, TokenBatch


class TokenStream(Protocol):
    """An open stream of tokens from one engine."""

    async def next_batch(self) -> TokenBatch | None:
        """Return the next tokens, or None once `answer` tells how it ended."""

    @property
    def answer(self) -> CallAnswer:
        """How the stream ended; `output` is its whole text if it is done."""

    async def aclose(self) -> None:
        """Release the connection."""


class Transport(Protocol):
    """Calls of targets; none of these raises for what a target does wrong."""

    async def call(self, target: TargetView, envelope: CallEnvelope) -> CallAnswer:
        """Run one unary attempt."""

    async def open_stream(
        self, target: TargetView, envelope: CallEnvelope
    ) -> TokenStream | CallAnswer:
        """Start a stream of tokens, or return how the attempt failed."""

    async def resume_stream(
        self, target: TargetView, stream_id: str, position: int
    ) -> TokenStream | CallAnswer:
        """Read a stream that was started before, from token `position`."""

    async def cancel(self, target: TargetView, envelope: CallEnvelope) -> CallAnswer:
        """Stop an attempt; the answer has the units that were spent."""

    async def has_crashed(self, target: TargetView) -> bool:
        """Tell whether the target's process is gone or has been started anew."""
