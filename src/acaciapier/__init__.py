"""acaciapier serves multi-stage model pipelines to connected callers.

Examples
--------
>>> import acaciapier
>>> async with acaciapier.Session(["http://127.0.0.1:8080"], "token") as session:
...     answer = await session.run("quote", {"text": "12 bowls"})  # doctest: +SKIP
"""

from .exceptions import (
    AcaciapierError,
    AnswerGone,
    FindingsError,
    IncompleteAnswer,
    NotRun,
    OutcomeUnknown,
    RequestError,
)
from .models import Answer, Part
from .sessions import Session

__all__ = [
    "AcaciapierError",
    "Answer",
    "AnswerGone",
    "FindingsError",
    "IncompleteAnswer",
    "NotRun",
    "OutcomeUnknown",
    "Part",
    "RequestError",
    "Session",
]
