"""Findings: problems collected with their location and reported together."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..exceptions import FindingsError

if TYPE_CHECKING:
    from pydantic import ValidationError


@dataclass(frozen=True)
class Finding:
    """One problem in an input.

    Parameters
    ----------
    place : str
        Where the problem is, such as ``pools.encoders.targets[2].url``.
    message : str
        What is wrong, in one sentence.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class Findings:
    """Collector of findings.

    Examples
    --------
    >>> findings = Findings()
    >>> findings.add("listen.port", "must be between 1 and 65535")
    >>> findings.raise_if_any("settings")
    Traceback (most recent call last):
        ...
    acaciapier.exceptions.FindingsError: settings: 1 finding
      listen.port: must be between 1 and 65535
    """

    def __init__(self, findings: Iterable[Finding] = ()):
        self._findings = list(findings)

    def __iter__(self):
        return iter(self._findings)

    def __len__(self) -> int:
        return len(self._findings)

    def add(self, place: str, message: str) -> None:
        """Record one finding."""
        self._findings.append(Finding(place, message))

    def add_validation_error(self, error: ValidationError, prefix: str = "") -> None:
        """Record every problem of a pydantic error under `prefix`."""
        for detail in error.errors(include_url=False, include_input=False):
            self.add(_format_location(detail["loc"], prefix), detail["msg"])

    def raise_if_any(self, subject: str) -> None:
        """Raise `FindingsError` about `subject` if anything was recorded."""
        if self._findings:
            raise FindingsError(subject, tuple(self._findings))


def _format_location(location: tuple[str | int, ...], prefix: str) -> str:
    """Format a pydantic location as a path such as ``a.b[2].c``."""
    place = prefix
    for step in location:
        if isinstance(step, int):
            place += f"[{step}]"
        else:
            place += f".{step}" if place else step
    return place or "(whole input)"
