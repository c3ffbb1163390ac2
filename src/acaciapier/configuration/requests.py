"""Requested changes, and how each kind of operation makes a new value."""

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

import jsonpatch
import jsonpointer
import msgspec
import xxhash

from ..core.findings import Findings
from .limits import (
    MAX_NESTING,
    MAX_OBJECT_BYTES,
    MAX_PATCH_OPERATIONS,
    encoded_bytes,
    nesting_of,
)
from .state import ObjectKey


@dataclass(frozen=True)
class Replace:
    """Create the object, or replace its whole value."""

    value: Any


@dataclass(frozen=True)
class Patch:
    """Apply the operations of a JSON Patch (RFC 6902) to the present value."""

    operations: Any


@dataclass(frozen=True)
class Delete:
    """Delete the object."""


Operation = Replace | Patch | Delete


@dataclass(frozen=True)
class RequestedEdit:
    """One object's part of a requested change.

    Parameters
    ----------
    key : ObjectKey
        Kind and name of the object.
    base_version : int
        Version that the operation was made against; 0 for a new object.
    operation : Operation
        What to do.
    """

    key: ObjectKey
    base_version: int
    operation: Operation


@dataclass(frozen=True)
class RequestedChange:
    """A change set that is accepted or refused as a whole.

    Parameters
    ----------
    patch_id : str
        Names the change; send the same again after a lost answer.
    author : str
        Who asks for it.
    edits : tuple of RequestedEdit
        What to change, each object at most once.
    at_least_number : int
        Number that the caller has seen; nobody who knows less may refuse.
    """

    patch_id: str
    author: str
    edits: tuple[RequestedEdit, ...]
    at_least_number: int = field(default=0, compare=False)

    @property
    def fingerprint(self) -> str:
        """Hash of the edits, the same for every resend."""
        parts = [
            (edit.key, edit.base_version, type(edit.operation).__name__, edit.operation)
            for edit in self.edits
        ]
        encoded = msgspec.json.encode(parts, order="deterministic")
        return xxhash.xxh3_128_hexdigest(encoded)


@singledispatch
def new_value(
    operation: Operation,
    present: dict[str, Any] | None,
    findings: Findings,
    place: str,
) -> dict[str, Any] | None:
    """Return the value that an operation makes of the present one.

    Parameters
    ----------
    operation : Operation
        What to do.
    present : dict or None
        The present JSON value; None if the object does not exist.
    findings : Findings
        Collects problems.
    place : str
        Place of the object, for findings.

    Returns
    -------
    dict or None
        The new value; None for a deletion or if anything was found.
    """
    raise TypeError(f"unknown operation {operation!r}")


@new_value.register
def _(operation: Replace, present, findings, place):
    if not isinstance(operation.value, dict):
        findings.add(place, "must be an object")
        return None
    return operation.value if _is_bounded(operation.value, findings, place) else None


@new_value.register
def _(operation: Delete, present, findings, place):
    if present is None:
        findings.add(place, "does not exist")
    return None


@new_value.register
def _(operation: Patch, present, findings, place):
    if present is None:
        findings.add(place, "does not exist")
        return None
    if not isinstance(operation.operations, list):
        findings.add(place, "a patch is a list of operations")
        return None
    if len(operation.operations) > MAX_PATCH_OPERATIONS:
        findings.add(place, f"has more than {MAX_PATCH_OPERATIONS} operations")
        return None
    return _patched(operation.operations, present, findings, place)


def _patched(operations, present, findings: Findings, place: str):
    """Apply operations one by one, so that copies cannot grow without bound."""
    value = present
    for index, operation in enumerate(operations):
        at = f"{place} operations[{index}]"
        try:
            value = jsonpatch.apply_patch(value, [operation])
        except (jsonpatch.JsonPatchException, jsonpointer.JsonPointerException) as no:
            findings.add(at, str(no))
            return None
        except (TypeError, ValueError, KeyError, AttributeError, LookupError) as error:
            findings.add(at, f"cannot be applied: {error}")
            return None
        if not isinstance(value, dict):
            findings.add(at, "leaves no object")
            return None
        if not _is_bounded(value, findings, at):
            return None
    return value


def _is_bounded(value: dict[str, Any], findings: Findings, place: str) -> bool:
    if nesting_of(value) > MAX_NESTING:
        findings.add(place, f"is nested more than {MAX_NESTING} deep")
        return False
    if encoded_bytes(value) > MAX_OBJECT_BYTES:
        findings.add(place, f"is larger than {MAX_OBJECT_BYTES} bytes")
        return False
    try:
        msgspec.msgpack.encode(value)
    except OverflowError:
        findings.add(place, "holds a whole number of more than 64 bits")
        return False
    return True
