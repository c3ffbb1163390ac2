"""acaciapier serves multi-stage model pipelines to connected callers.

Examples
--------
>>> import acaciapier
>>> async with acaciapier.Session(["http://127.0.0.1:8080"], "token") as session:
...     answer = await session.run("quote", {"text": "12 bowls"})  # doctest: +SKIP
"""

from .core.lazy_imports import lazy_names

_MODULES = {
    "AcaciapierError": ".exceptions",
    "Answer": ".models",
    "AnswerGone": ".exceptions",
    "FindingsError": ".exceptions",
    "IncompleteAnswer": ".exceptions",
    "NotRun": ".exceptions",
    "OutcomeUnknown": ".exceptions",
    "Part": ".models",
    "RequestError": ".exceptions",
    "Session": ".sessions",
}

__all__ = [*_MODULES]
__getattr__ = lazy_names(__name__, _MODULES)


def __dir__() -> list[str]:
    return sorted([*globals(), *_MODULES])
