"""Reading declared objects from files and from stored values."""

import json
from pathlib import Path
from typing import Any

import jsonc
from pydantic import ValidationError

from ..core.findings import Findings
from ..exceptions import AcaciapierError
from .checks import check_objects, place_of
from .models import DeclaredObject, Pipeline, RouteRule, TargetPool, Workspace


class UnreadableObject(AcaciapierError):
    """An accepted object that this release cannot read."""


MODELS = {
    "pipeline": Pipeline,
    "route": RouteRule,
    "pool": TargetPool,
    "workspace": Workspace,
}
"""Model of each kind of declared object, by its kind."""


def load_bundle(path: str | Path) -> list[DeclaredObject]:
    """Read and check a file of JSON with comments that lists declared objects.

    Parameters
    ----------
    path : str or Path
        File that holds one list of declared objects.

    Returns
    -------
    list of DeclaredObject
        The objects in the order of the file.

    Raises
    ------
    FindingsError
        With every problem of the file, each with its place.

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
    """Read the list in a file of JSON with comments, without checking its items."""
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
    """Check each value by itself, recording every problem in `findings`."""
    parsed = [
        parse_object(value, findings, f"[{index}]")
        for index, value in enumerate(values)
    ]
    return [one for one in parsed if one is not None]


def parse_object(
    value: Any, findings: Findings, fallback_place: str
) -> DeclaredObject | None:
    """Check one value as a declared object.

    Parameters
    ----------
    value : Any
        Decoded JSON of the object.
    findings : Findings
        Collects every problem, with the object's kind and name as place.
    fallback_place : str
        Place of the value if it has no readable kind and name.

    Returns
    -------
    DeclaredObject or None
        The object, or None if anything was found.
    """
    if not isinstance(value, dict):
        findings.add(fallback_place, "must be an object with a kind and a name")
        return None
    kind, name = value.get("kind"), value.get("name")
    if not isinstance(kind, str) or kind not in MODELS:
        findings.add(f"{fallback_place}.kind", f"must be one of {', '.join(MODELS)}")
        return None
    place = place_of(kind, name) if isinstance(name, str) else fallback_place
    try:
        return MODELS[kind].model_validate(value)
    except ValidationError as error:
        findings.add_validation_error(error, place)
        return None


def parse_stored(value: dict[str, Any]) -> DeclaredObject:
    """Read a value that was accepted before, by this or a newer release.

    Keys that this release does not know are ignored, so that instances of two
    releases can run side by side during an upgrade.

    Raises
    ------
    UnreadableObject
        If the kind or a value is unknown to this release.
    """
    model = MODELS.get(value.get("kind"))
    if model is None:
        raise UnreadableObject(f"kind {value.get('kind')} is unknown here")
    try:
        return model.model_validate(value, extra="ignore")
    except ValidationError as error:
        place = place_of(value["kind"], str(value.get("name")))
        raise UnreadableObject(f"{place} cannot be read here: {error}") from error


def stored_value(one: DeclaredObject) -> dict[str, Any]:
    """Return the JSON value that stands for a declared object in the store."""
    return one.model_dump(mode="json")
