"""acaciapier serves multi-stage model pipelines to connected callers.

Examples
--------
>>> import acaciapier
>>> async with acaciapier.Session(["http://127.0.0.1:8080"], "token") as session:
...     answer = await session.run("quote", {"text": "12 bowls"})  # doctest: +SKIP
"""

from importlib import import_module

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


def __getattr__(name: str):
    """Import a public name when it is first used.

    The binaries use only parts of the package and start faster without the client.
    """
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(_MODULES[name], __name__), name)
    globals()[name] = value
    return value


def __dir__() -> list[str]:
    return sorted([*globals(), *_MODULES])
