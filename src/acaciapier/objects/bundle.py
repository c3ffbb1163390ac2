"""Reads declared objects from bundle files and from values in the store."""

import json
from pathlib import Path
from typing import Any

import jsonc
from pydantic import ValidationError

from ..core.findings import Findings
from ..exceptions import AcaciapierError
from .checks import check_objects, qualified_name
from .models import DeclaredObject, Pipeline, RouteRule, TargetPool, Workspace


class UnreadableObject(AcaciapierError):
    """Raised if a stored object has a kind or value that this release lacks."""


MODELS = {
    "pipeline": Pipeline,
    "route": RouteRule,
    "pool": TargetPool,
    "workspace": Workspace,
}
"""Model class of each kind of declared object."""


def load_bundle(path: str | Path) -> list[DeclaredObject]:
    """Read and check a bundle: a list of declared objects in JSON with comments.

    Parameters
    ----------
    path : str or Path
        Path of the bundle.

    Returns
    -------
    list of DeclaredObject
        The objects, in the order of the file.

    Raises
    ------
    FindingsError
        If the file has problems; the error lists each one with its place.

    Examples
    --------
    >>> load_bundle("examples/kartvel.jsonc")  # doctest: +SKIP
    """
    values = read_bundle(path)
    findings = Findings()
    objects = parse_objects(values, findings)
    findings.raise_if_any(str(path))
    check_objects(objects).raise_if_any(str(path))
    return objects


def read_bundle(path: str | Path) -> list[Any]:
    """Decode the list in a bundle file without checking its items."""
    findings = Findings()
    values: Any = []
    try:
        values = jsonc.loads(Path(path).read_text(encoding="utf-8"))
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        findings.add(place, error.msg)
    except (OSError, UnicodeDecodeError, RecursionError, ValueError) as error:
        findings.add("(whole input)", str(error) or type(error).__name__)
    if not isinstance(values, list):
        findings.add("(whole input)", "must be a list of declared objects")
    findings.raise_if_any(str(path))
    return values


def parse_objects(values: list[Any], findings: Findings) -> list[DeclaredObject]:
    """Parse each value on its own and add every problem to `findings`.

    Values with problems are left out of the result.
    """
    parsed = [
        parse_object(value, findings, f"[{index}]")
        for index, value in enumerate(values)
    ]
    return [declared for declared in parsed if declared is not None]


def parse_object(
    value: Any, findings: Findings, fallback_place: str
) -> DeclaredObject | None:
    """Parse one value as a declared object, and add its problems to `findings`.

    Parameters
    ----------
    value : Any
        Decoded JSON of the object.
    findings : Findings
        Collects the problems; their place starts with the object's kind and name.
    fallback_place : str
        Place to report if the value has no valid kind or name.

    Returns
    -------
    DeclaredObject or None
        The object, or None if the value has problems.
    """
    if not isinstance(value, dict):
        findings.add(fallback_place, "must be an object with a kind and a name")
        return None
    kind, name = value.get("kind"), value.get("name")
    if not isinstance(kind, str) or kind not in MODELS:
        findings.add(f"{fallback_place}.kind", f"must be one of {', '.join(MODELS)}")
        return None
    place = qualified_name(kind, name) if isinstance(name, str) else fallback_place
    try:
        return MODELS[kind].model_validate(value)
    except ValidationError as error:
        findings.add_validation_error(error, place)
        return None


def parse_stored(value: dict[str, Any]) -> DeclaredObject:
    """Parse a stored value, which this or a newer release accepted.

    Keys that this release does not know are ignored, so that instances of two
    releases can run side by side during an upgrade.

    Raises
    ------
    UnreadableObject
        If this release does not support the kind or a field value.
    """
    model = MODELS.get(value.get("kind"))
    if model is None:
        raise UnreadableObject(f"kind {value.get('kind')} is unknown here")
    try:
        return model.model_validate(value, extra="ignore")
    except ValidationError as error:
        place = qualified_name(value["kind"], str(value.get("name")))
        raise UnreadableObject(f"{place} cannot be read here: {error}") from error


def stored_value(declared: DeclaredObject) -> dict[str, Any]:
    """Return the JSON value that represents a declared object in the store."""
    return declared.model_dump(mode="json")
