"""Deciding whether a requested change is accepted; no I/O."""

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
    place_of,
    stored_value,
)
from .limits import MAX_CHANGE_BYTES, MAX_EDITS, MAX_PATCH_ID_CHARACTERS
from .requests import Delete, RequestedChange, RequestedEdit, new_value
from .state import ConfigurationState, ObjectKey
from .transitions import present_versions


class PatchRecord(msgspec.Struct, frozen=True):
    """What is kept of an accepted change to recognise a resend.

    Parameters
    ----------
    patch_id : str
        Name of the change.
    number : int
        Its place in the order.
    fingerprint : str
        Hash of what was asked for.
    new_versions : tuple of int
        New version of each edit, in the order of the request.
    """

    patch_id: str
    number: int
    fingerprint: str
    new_versions: tuple[int, ...]


@dataclass(frozen=True)
class VersionMismatch:
    """An object that is not at the version that a change was made against."""

    key: ObjectKey
    base_version: int
    present_version: int


@dataclass(frozen=True)
class Conflict:
    """Refusal: other changes came first; shows the present versions.

    Parameters
    ----------
    number : int
        Number of the state that this was decided on.
    mismatches : tuple of VersionMismatch
        Every object at another version than named.
    """

    number: int
    mismatches: tuple[VersionMismatch, ...]


@dataclass(frozen=True)
class Rejected:
    """Refusal: the change is not sound; shows every finding.

    Parameters
    ----------
    number : int
        Number of the state that this was decided on.
    findings : tuple of Finding
        Every problem with its place.
    """

    number: int
    findings: tuple[Finding, ...]


class PatchIndex:
    """The latest accepted patches by id.

    Parameters
    ----------
    records : iterable of PatchRecord
        Known patches, oldest first.
    kept : int
        How many are kept.
    """

    def __init__(self, records: Iterable[PatchRecord], kept: int):
        self._kept = kept
        self._records: OrderedDict[str, PatchRecord] = OrderedDict()
        for record in records:
            self._add(record)

    def __iter__(self):
        return iter(self._records.values())

    def get(self, patch_id: str) -> PatchRecord | None:
        """Return the accepted patch of that id."""
        return self._records.get(patch_id)

    def add_change(self, change: Change) -> None:
        """Remember an accepted change."""
        self._add(record_of(change))

    def _add(self, record: PatchRecord) -> None:
        self._records[record.patch_id] = record
        while len(self._records) > self._kept:
            self._records.popitem(last=False)


def record_of(change: Change) -> PatchRecord:
    """Return what is kept of a change to recognise a resend."""
    versions = tuple(edit.new_version for edit in change.edits)
    return PatchRecord(change.patch_id, change.number, change.fingerprint, versions)


def decide(
    state: ConfigurationState,
    patches: PatchIndex,
    request: RequestedChange,
    made_at_ms: int,
) -> Result[Change | PatchRecord, Conflict | Rejected]:
    """Decide on a requested change against a state.

    Parameters
    ----------
    state : ConfigurationState
        The state that the change would follow.
    patches : PatchIndex
        Patches accepted up to that state.
    request : RequestedChange
        What is asked for.
    made_at_ms : int
        Time to record, in milliseconds since the Unix epoch.

    Returns
    -------
    Ok of Change
        The change to append.
    Ok of PatchRecord
        The patch was accepted before.
    Err of Conflict or Rejected
        Why not; nothing changes.
    """
    known = patches.get(request.patch_id)
    if known is not None:
        return _decide_known(state, known, request)
    findings = _check_shape(request)
    if findings:
        return Err(Rejected(state.number, tuple(findings)))
    mismatches = _mismatches(state, request)
    if mismatches:
        return Err(Conflict(state.number, mismatches))
    return _decide_content(state, request, made_at_ms)


def _decide_known(state, known: PatchRecord, request: RequestedChange):
    if known.fingerprint == request.fingerprint:
        return Ok(known)
    message = f"was used by change {known.number} for something else"
    return Err(Rejected(state.number, (Finding("patch_id", message),)))


def _check_shape(request: RequestedChange) -> Findings:
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


def _mismatches(
    state: ConfigurationState, request: RequestedChange
) -> tuple[VersionMismatch, ...]:
    versions = present_versions(state, [edit.key for edit in request.edits])
    return tuple(
        VersionMismatch(edit.key, edit.base_version, versions[edit.key])
        for edit in request.edits
        if edit.base_version != versions[edit.key]
    )


def _decide_content(state: ConfigurationState, request, made_at_ms: int):
    findings = Findings()
    objects = {key: one.declared for key, one in state.objects.items()}
    edits = []
    for edit in request.edits:
        declared = _new_object(state, edit, findings)
        if declared is None:
            objects.pop(edit.key, None)
        else:
            objects[edit.key] = declared
        edits.append(_edit_of(state, edit, declared))
    if not findings:
        _add_new_problems(state, objects, findings)
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


def _new_object(
    state: ConfigurationState, edit: RequestedEdit, findings: Findings
) -> DeclaredObject | None:
    """Return the object after an edit; None if deleted or if anything was found."""
    present = state.objects.get(edit.key)
    present_value = stored_value(present.declared) if present else None
    place = place_of(*edit.key)
    value = new_value(edit.operation, present_value, findings, place)
    if value is None:
        return None
    if isinstance(edit.operation, Delete):
        return None
    if (value.get("kind"), value.get("name")) != tuple(edit.key):
        findings.add(place, "kind and name cannot be changed")
        return None
    return parse_object(value, findings, place)


def _edit_of(
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


def _add_new_problems(state: ConfigurationState, objects, findings: Findings) -> None:
    """Record the problems that the state did not have before."""
    after = check_objects(objects.values())
    if not after:
        return
    before = set(check_objects(one.declared for one in state))
    for finding in after:
        if finding not in before:
            findings.add(finding.place, finding.message)
