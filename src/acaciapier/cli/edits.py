"""Reading bundles, patches and names, and the edits that they ask for."""

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
from .session import table_of


def split_name(name: str) -> tuple[str, str]:
    """Split ``kind/name``."""
    kind, slash, rest = name.partition("/")
    if not slash or not kind or not rest:
        message = f"{name} is not of the form kind/name"
        raise CommandFailed(ExitCode.USAGE, message)
    return kind, rest


def path_of(name: str) -> str:
    """Return the path of an object in the API."""
    kind, rest = split_name(name)
    return f"/v1/objects/{quote(kind, safe='')}/{quote(rest, safe='')}"


def read_values(path: Path) -> list[dict[str, Any]]:
    """Read the values of a bundle; each is checked by itself here."""
    try:
        findings = Findings()
        objects = parse_objects(read_bundle(path), findings)
        findings.raise_if_any(str(path))
    except FindingsError as error:
        raise CommandFailed(ExitCode.REFUSED, str(error)) from error
    return [stored_value(one) for one in objects]


def read_operations(file: str) -> Any:
    """Read the operations of a patch from a file or the input."""
    try:
        text = sys.stdin.read() if file == "-" else Path(file).read_text()
        return jsonc.loads(text)
    except (OSError, ValueError, RecursionError) as error:
        raise CommandFailed(ExitCode.REFUSED, f"{file}: {error}") from error


def edits_between(
    present: ObjectsBody, wanted: list[dict[str, Any]], prune: bool
) -> tuple[EditBody, ...]:
    """Return the edits that make the present objects the wanted ones."""
    found = {(one.kind, one.name): one for one in present.objects}
    edits = []
    for value in wanted:
        one = found.pop((value["kind"], value["name"]), None)
        if one is not None and _is_same(one.value, value):
            continue
        version = one.version if one else 0
        edits.append(EditBody(value["kind"], value["name"], version, "replace", value))
    if prune:
        edits += [
            EditBody(kind, name, one.version, "delete")
            for (kind, name), one in found.items()
        ]
    return tuple(edits)


def _is_same(present: dict[str, Any], wanted: dict[str, Any]) -> bool:
    """Compare the fields that this operator may read."""
    return all(wanted.get(field) == value for field, value in present.items())


def describe(edits: tuple[EditBody, ...]) -> Table | str:
    """Return what the edits would do."""
    if not edits:
        return "Nothing to change."
    rows = [
        (_verb_of(edit), f"{edit.kind}/{edit.name}", edit.base_version)
        for edit in edits
    ]
    return table_of(("edit", "object", "present version"), rows)


def _verb_of(edit: EditBody) -> str:
    if edit.operation == "delete":
        return "delete"
    return "change" if edit.base_version else "create"


def new_id(patch_id: str | None) -> str:
    """Return the given patch id, or a new one."""
    return patch_id or str(uuid.uuid4())
