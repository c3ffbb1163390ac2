"""Interface through which requests call targets."""

from typing import Protocol

from ..policy.models import TargetView
from .models import CallAnswer, CallEnvelope, TokenBatch


class TokenStream(Protocol):
    """An open token stream of an engine."""

    async def next_batch(self) -> TokenBatch | None:
        """Return the next tokens; None at the end, when `answer` holds the outcome."""

    @property
    def answer(self) -> CallAnswer:
        """Outcome of the stream, once it has ended."""

    async def aclose(self) -> None:
        """Release the connection."""


class Transport(Protocol):
    """Calls targets; failures of a target are returned, not raised."""

    async def call(self, target: TargetView, envelope: CallEnvelope) -> CallAnswer:
        """Run one unary attempt."""

    async def open_stream(
        self, target: TargetView, envelope: CallEnvelope
    ) -> TokenStream | CallAnswer:
        """Start a token stream; return a `CallAnswer` if the attempt failed."""

    async def resume_stream(
        self, target: TargetView, stream_id: str, position: int
    ) -> TokenStream | CallAnswer:
        """Read a stream that was started earlier, from token `position` on."""

    async def cancel(self, target: TargetView, envelope: CallEnvelope) -> CallAnswer:
        """Cancel an attempt; the answer holds the units it consumed."""

    async def has_crashed(self, target: TargetView) -> bool:
        """Return whether the target's process has ended or was restarted."""
