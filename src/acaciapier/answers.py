"""Assembles and verifies an answer from the events of a request."""

import hashlib
from typing import Any

import msgspec

from .core.outcomes import Cause, Outcome
from .exceptions import (
    AcaciapierError,
    AnswerGone,
    IncompleteAnswer,
    NotRun,
    OutcomeUnknown,
)
from .models import Answer, Final, Part
from .targets.sse import SseEvent


class ConnectionLost(AcaciapierError):
    """The connection ended before the final event."""


class AnswerBuilder:
    """Collects the events of one request, across reconnects.

    Parameters
    ----------
    request_id : str
        Id of the request.
    """

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.final: Final | None = None
        self.resume_token = ""
        self.resets = 0
        self.stages: list[str] = []
        self._texts: list[str] = []
        self._count = 0
        self._value: Any = None
        self._has_value = False
        self._reset_pending = False

    @property
    def position(self) -> int:
        """Number of tokens received from the current run."""
        return self._count

    def reset(self) -> None:
        """Discard all parts because the request is run again."""
        self.resume_token = ""
        if not self._count:
            return
        self._texts = []
        self._count = 0
        self._value = None
        self._has_value = False
        self._reset_pending = True
        self.resets += 1

    def finish(self, final: Final) -> None:
        """Record the final event."""
        self.final = final

    def handle_event(self, event: SseEvent) -> Part | None:
        """Process one event; return the part of the answer it holds, if any."""
        body = msgspec.json.decode(event.data)
        if event.name == "part":
            return self._handle_part(body)
        if event.name == "resume":
            self.resume_token = body["token"]
        elif event.name == "reset":
            self.reset()
        elif event.name == "stage":
            self.stages.append(body["stage"])
        elif event.name == "final":
            self.finish(Final.from_body(body))
        return None

    def answer(self) -> Answer:
        """Return the verified answer, or raise the error given by the final event.

        Raises
        ------
        ConnectionLost
            If there is no final event yet.
        RequestError
            If the request ended without its complete answer.
        IncompleteAnswer
            If the parts do not match the count or the digest.
        """
        final = self.final
        if final is None:
            raise ConnectionLost("the request has not ended")
        if final.outcome is Outcome.NOT_RUN:
            raise NotRun(final)
        if final.outcome is Outcome.UNKNOWN:
            raise OutcomeUnknown(final)
        if final.cause is Cause.ANSWER_GONE:
            raise AnswerGone(final)
        self._check(final)
        return Answer(
            request_id=self.request_id,
            text="".join(self._texts),
            value=self._value,
            count=final.count,
            digest=final.digest,
            cost=final.cost,
        )

    def _handle_part(self, body: dict[str, Any]) -> Part:
        if "value" in body:
            self._value = body["value"]
            self._has_value = True
            self._count = 1
            return Part(0, "", 1)
        offset, text, count = body["offset"], body["text"], body["count"]
        if offset != self._count:
            message = f"a part starts at token {offset}, expected token {self._count}"
            raise IncompleteAnswer(message)
        self._texts.append(text)
        self._count += count
        reset, self._reset_pending = self._reset_pending, False
        return Part(offset, text, count, reset)

    def _check(self, final: Final) -> None:
        if final.count != self._count:
            message = f"{self._count} of {final.count} tokens arrived"
            raise IncompleteAnswer(message)
        content = "".join(self._texts).encode()
        if self._has_value:
            content = msgspec.json.encode(self._value, order="sorted")
        if hashlib.sha256(content).hexdigest() != final.digest:
            raise IncompleteAnswer("the answer does not match its digest")
