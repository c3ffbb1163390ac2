"""Decides whether a requested change is accepted, without I/O."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from ..core.findings import Finding, Findings
from ..objects import (
    Change,
    DeclaredObject,
    Edit,
    check_objects,
    parse_object,
    qualified_name,
    stored_value,
)
from .limits import MAX_CHANGE_BYTES, MAX_EDITS, MAX_PATCH_ID_CHARACTERS
from .requests import Delete, RequestedChange, RequestedEdit, apply_operation
from .state import ConfigurationState, ObjectKey
from .transitions import current_versions


class PatchRecord(msgspec.Struct, frozen=True):
    """Summary of an accepted change, used to recognise a resend.

    Parameters
    ----------
    patch_id : str
        Identifier that the operator gave the change.
    number : int
        Number of the change in the log.
    fingerprint : str
        Hash of the requested edits.
    new_versions : tuple of int
        New version of each edit, in the order of the request.
    """

    patch_id: str
    number: int
    fingerprint: str
    new_versions: tuple[int, ...]


@dataclass(frozen=True)
class VersionMismatch:
    """An object whose version differs from the base version of a requested edit."""

    key: ObjectKey
    base_version: int
    present_version: int


@dataclass(frozen=True)
class Conflict:
    """Refusal because objects have changed since the versions that were edited.

    Parameters
    ----------
    number : int
        Number of the state that the request was checked against.
    mismatches : tuple of VersionMismatch
        Every object whose version differs, with its current version.
    """

    number: int
    mismatches: tuple[VersionMismatch, ...]


@dataclass(frozen=True)
class Rejected:
    """Refusal because the change is invalid.

    Parameters
    ----------
    number : int
        Number of the state that the request was checked against.
    findings : tuple of Finding
        Every problem and where it is.
    """

    number: int
    findings: tuple[Finding, ...]


class PatchIndex:
    """The most recent accepted patches by id.

    Parameters
    ----------
    records : iterable of PatchRecord
        Known patches, oldest first.
    max_records : int
        Number of records after which the oldest is removed.
    """

    def __init__(self, records: Iterable[PatchRecord], max_records: int):
        self._max_records = max_records
        self._records: OrderedDict[str, PatchRecord] = OrderedDict()
        for record in records:
            self._add(record)

    def __iter__(self):
        return iter(self._records.values())

    def get(self, patch_id: str) -> PatchRecord | None:
        """Return the accepted patch with this id, or None."""
        return self._records.get(patch_id)

    def add_change(self, change: Change) -> None:
        """Add the record of an accepted change."""
        self._add(patch_record(change))

    def _add(self, record: PatchRecord) -> None:
        self._records[record.patch_id] = record
        while len(self._records) > self._max_records:
            self._records.popitem(last=False)


def patch_record(change: Change) -> PatchRecord:
    """Return the record by which a resend of `change` is recognised."""
    versions = tuple(edit.new_version for edit in change.edits)
    return PatchRecord(change.patch_id, change.number, change.fingerprint, versions)


def decide(
    state: ConfigurationState,
    patches: PatchIndex,
    request: RequestedChange,
    made_at_ms: int,
) -> Result[Change | PatchRecord, Conflict | Rejected]:
    """Decide whether a requested change is accepted in a given state.

    Parameters
    ----------
    state : ConfigurationState
        State that the change would be applied to.
    patches : PatchIndex
        Patches accepted up to that state.
    request : RequestedChange
        Edits to check.
    made_at_ms : int
        Acceptance time to record, in milliseconds since the Unix epoch.

    Returns
    -------
    Ok of Change
        The change to append.
    Ok of PatchRecord
        The same request was accepted before.
    Err of Conflict or Rejected
        Why the request is refused.
    """
    accepted = patches.get(request.patch_id)
    if accepted is not None:
        return _decide_resend(state, accepted, request)
    findings = _check_request(request)
    if findings:
        return Err(Rejected(state.number, tuple(findings)))
    mismatches = _version_mismatches(state, request)
    if mismatches:
        return Err(Conflict(state.number, mismatches))
    return _decide_edits(state, request, made_at_ms)


def _decide_resend(state, accepted: PatchRecord, request: RequestedChange):
    if accepted.fingerprint == request.fingerprint:
        return Ok(accepted)
    message = f"was used by change {accepted.number} for something else"
    return Err(Rejected(state.number, (Finding("patch_id", message),)))


def _check_request(request: RequestedChange) -> Findings:
    findings = Findings()
    if not 1 <= len(request.patch_id) <= MAX_PATCH_ID_CHARACTERS:
        message = f"must have 1 to {MAX_PATCH_ID_CHARACTERS} characters"
        findings.add("patch_id", message)
    if not 1 <= len(request.edits) <= MAX_EDITS:
        findings.add("edits", f"must be 1 to {MAX_EDITS}")
    seen: set[ObjectKey] = set()
    for edit in request.edits:
        if edit.key in seen:
            findings.add(str(edit.key), "is edited twice")
        seen.add(edit.key)
    return findings


def _version_mismatches(
    state: ConfigurationState, request: RequestedChange
) -> tuple[VersionMismatch, ...]:
    versions = current_versions(state, [edit.key for edit in request.edits])
    return tuple(
        VersionMismatch(edit.key, edit.base_version, versions[edit.key])
        for edit in request.edits
        if edit.base_version != versions[edit.key]
    )


def _decide_edits(state: ConfigurationState, request, made_at_ms: int):
    findings = Findings()
    objects = {key: versioned.declared for key, versioned in state.objects.items()}
    edits = []
    for edit in request.edits:
        declared = _edited_object(state, edit, findings)
        if declared is None:
            objects.pop(edit.key, None)
        else:
            objects[edit.key] = declared
        edits.append(_make_edit(state, edit, declared))
    if not findings:
        _add_new_findings(state, objects, findings)
    change = Change(
        state.number + 1,
        request.patch_id,
        request.author,
        made_at_ms,
        request.fingerprint,
        tuple(edits),
    )
    if change.encoded_bytes > MAX_CHANGE_BYTES:
        findings.add("edits", f"are larger than {MAX_CHANGE_BYTES} bytes together")
    if findings:
        return Err(Rejected(state.number, tuple(findings)))
    return Ok(change)


def _edited_object(
    state: ConfigurationState, edit: RequestedEdit, findings: Findings
) -> DeclaredObject | None:
    """Return the object after an edit; None if it is deleted or invalid."""
    current = state.objects.get(edit.key)
    current_value = stored_value(current.declared) if current else None
    place = qualified_name(*edit.key)
    value = apply_operation(edit.operation, current_value, findings, place)
    if value is None:
        return None
    if isinstance(edit.operation, Delete):
        return None
    if (value.get("kind"), value.get("name")) != tuple(edit.key):
        findings.add(place, "kind and name cannot be changed")
        return None
    return parse_object(value, findings, place)


def _make_edit(
    state: ConfigurationState, edit: RequestedEdit, declared: DeclaredObject | None
) -> Edit:
    return Edit(
        edit.key.kind,
        edit.key.name,
        edit.base_version,
        state.last_version(edit.key) + 1,
        None if declared is None else stored_value(declared),
        state.last_number(edit.key),
    )


def _add_new_findings(state: ConfigurationState, objects, findings: Findings) -> None:
    """Add the findings that the current state does not have already."""
    after = check_objects(objects.values())
    if not after:
        return
    before = set(check_objects(versioned.declared for versioned in state))
    for finding in after:
        if finding not in before:
            findings.add(finding.place, finding.message)
