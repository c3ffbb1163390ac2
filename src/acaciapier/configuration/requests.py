"""Requested changes, and the application of their operations to objects."""

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
    encoded_size_bytes,
    nesting_depth,
)
from .state import ObjectKey


@dataclass(frozen=True)
class Replace:
    """Create the object, or replace its whole value."""

    value: Any


@dataclass(frozen=True)
class Patch:
    """Apply the operations of a JSON Patch (RFC 6902) to the current value."""

    operations: Any


@dataclass(frozen=True)
class Delete:
    """Delete the object."""


Operation = Replace | Patch | Delete


@dataclass(frozen=True)
class RequestedEdit:
    """The part of a requested change that concerns one object.

    Parameters
    ----------
    key : ObjectKey
        Kind and name of the object.
    base_version : int
        Version of the object that the operation applies to; 0 for a new object.
    operation : Operation
        How to change the object.
    """

    key: ObjectKey
    base_version: int
    operation: Operation


@dataclass(frozen=True)
class RequestedChange:
    """A set of edits that is accepted or refused as a whole.

    Parameters
    ----------
    patch_id : str
        Identifies the change. A resend after a lost answer carries the same id.
    author : str
        Operator who requests the change.
    edits : tuple of RequestedEdit
        Edits, at most one for each object.
    at_least_number : int
        Number of a state that the caller has seen. An instance with an older state
        has to catch up before it may refuse the change.
    """

    patch_id: str
    author: str
    edits: tuple[RequestedEdit, ...]
    at_least_number: int = field(default=0, compare=False)

    @property
    def fingerprint(self) -> str:
        """Hash of the edits; equal for every resend."""
        parts = [
            (edit.key, edit.base_version, type(edit.operation).__name__, edit.operation)
            for edit in self.edits
        ]
        encoded = msgspec.json.encode(parts, order="deterministic")
        return xxhash.xxh3_128_hexdigest(encoded)


@singledispatch
def apply_operation(
    operation: Operation,
    current: dict[str, Any] | None,
    findings: Findings,
    place: str,
) -> dict[str, Any] | None:
    """Return the value that results from applying an operation to an object.

    Parameters
    ----------
    operation : Operation
        Operation to apply.
    current : dict or None
        The current JSON value; None if the object does not exist.
    findings : Findings
        Receives the problems that are found.
    place : str
        Location of the object, used in findings.

    Returns
    -------
    dict or None
        The new value; None for a deletion or if there are findings.
    """
    raise TypeError(f"unknown operation {operation!r}")


@apply_operation.register
def _(operation: Replace, current, findings, place):
    if not isinstance(operation.value, dict):
        findings.add(place, "must be an object")
        return None
    return operation.value if _is_bounded(operation.value, findings, place) else None


@apply_operation.register
def _(operation: Delete, current, findings, place):
    if current is None:
        findings.add(place, "does not exist")
    return None


@apply_operation.register
def _(operation: Patch, current, findings, place):
    if current is None:
        findings.add(place, "does not exist")
        return None
    if not isinstance(operation.operations, list):
        findings.add(place, "a patch is a list of operations")
        return None
    if len(operation.operations) > MAX_PATCH_OPERATIONS:
        findings.add(place, f"has more than {MAX_PATCH_OPERATIONS} operations")
        return None
    return _apply_patch(operation.operations, current, findings, place)


def _apply_patch(operations, current, findings: Findings, place: str):
    """Apply operations one by one and check the size after each.

    Otherwise repeated copy operations could grow the value without bound.
    """
    value = current
    for index, operation in enumerate(operations):
        operation_place = f"{place} operations[{index}]"
        try:
            value = jsonpatch.apply_patch(value, [operation])
        except (
            jsonpatch.JsonPatchException,
            jsonpointer.JsonPointerException,
        ) as error:
            findings.add(operation_place, str(error))
            return None
        except (TypeError, ValueError, KeyError, AttributeError, LookupError) as error:
            findings.add(operation_place, f"cannot be applied: {error}")
            return None
        if not isinstance(value, dict):
            findings.add(operation_place, "leaves no object")
            return None
        if not _is_bounded(value, findings, operation_place):
            return None
    return value


def _is_bounded(value: dict[str, Any], findings: Findings, place: str) -> bool:
    if nesting_depth(value) > MAX_NESTING:
        findings.add(place, f"is nested more than {MAX_NESTING} deep")
        return False
    if encoded_size_bytes(value) > MAX_OBJECT_BYTES:
        findings.add(place, f"is larger than {MAX_OBJECT_BYTES} bytes")
        return False
    try:
        msgspec.msgpack.encode(value)
    except OverflowError:
        findings.add(place, "holds a whole number of more than 64 bits")
        return False
    return True
