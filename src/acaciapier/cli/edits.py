"""Reads bundles, patches and object names, and computes the edits of a change."""

import sys
import uuid
from pathlib import Path
from typing import Any
from urllib.parse import quote

import jsonc
from rich.table import Table

from ..admin.bodies import EditBody, ObjectsBody
from ..core.findings import Findings
from ..exceptions import FindingsError
from ..objects import parse_objects, read_bundle, stored_value
from .exits import CommandFailed, ExitCode
from .session import make_table


def split_name(name: str) -> tuple[str, str]:
    """Split ``kind/name`` into kind and name."""
    kind, slash, rest = name.partition("/")
    if not slash or not kind or not rest:
        message = f"{name} is not of the form kind/name"
        raise CommandFailed(ExitCode.USAGE, message)
    return kind, rest


def object_path(name: str) -> str:
    """Return the API path of an object that is given as ``kind/name``."""
    kind, rest = split_name(name)
    return f"/v1/objects/{quote(kind, safe='')}/{quote(rest, safe='')}"


def read_values(path: Path) -> list[dict[str, Any]]:
    """Read the values of a bundle.

    Each value is checked on its own; the API checks references between objects.
    """
    try:
        findings = Findings()
        objects = parse_objects(read_bundle(path), findings)
        findings.raise_if_any(str(path))
    except FindingsError as error:
        raise CommandFailed(ExitCode.REFUSED, str(error)) from error
    return [stored_value(declared) for declared in objects]


def read_operations(file: str) -> Any:
    """Read the operations of a patch from a file, or from standard input for ``-``."""
    try:
        text = sys.stdin.read() if file == "-" else Path(file).read_text()
        return jsonc.loads(text)
    except (OSError, ValueError, RecursionError) as error:
        raise CommandFailed(ExitCode.REFUSED, f"{file}: {error}") from error


def edits_between(
    present: ObjectsBody, wanted: list[dict[str, Any]], prune: bool
) -> tuple[EditBody, ...]:
    """Return the edits that turn the present objects into the wanted ones.

    Present objects that are not wanted are deleted only if `prune` is set.
    """
    remaining = {(body.kind, body.name): body for body in present.objects}
    edits = []
    for value in wanted:
        body = remaining.pop((value["kind"], value["name"]), None)
        if body is not None and _is_unchanged(body.value, value):
            continue
        version = body.version if body else 0
        edits.append(EditBody(value["kind"], value["name"], version, "replace", value))
    if prune:
        edits += [
            EditBody(kind, name, body.version, "delete")
            for (kind, name), body in remaining.items()
        ]
    return tuple(edits)


def _is_unchanged(present: dict[str, Any], wanted: dict[str, Any]) -> bool:
    """Return whether all fields that this operator may read have the wanted value."""
    return all(wanted.get(field) == value for field, value in present.items())


def format_edits(edits: tuple[EditBody, ...]) -> Table | str:
    """Return a table of the edits, or a sentence if there are none."""
    if not edits:
        return "Nothing to change."
    rows = [
        (_action_of(edit), f"{edit.kind}/{edit.name}", edit.base_version)
        for edit in edits
    ]
    return make_table(("edit", "object", "present version"), rows)


def _action_of(edit: EditBody) -> str:
    if edit.operation == "delete":
        return "delete"
    return "change" if edit.base_version else "create"


def patch_id_or_new(patch_id: str | None) -> str:
    """Return the given patch id, or a new one."""
    return patch_id or str(uuid.uuid4())
