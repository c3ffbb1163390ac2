"""acaciapier serves multi-stage model pipelines to connected callers."""

from .exceptions import AcaciapierError, FindingsError

__all__ = ["AcaciapierError", "FindingsError"]
