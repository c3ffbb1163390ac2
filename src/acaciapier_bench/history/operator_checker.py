"""Checks what operators were told against the log of accepted changes."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from acaciapier.objects import Change

from .operator_records import OperatorHistory, PatchOutcome, PatchRecord

IN_FORCE_LIMIT_MS = 7_000.0
REFUSALS = frozenset((PatchOutcome.CONFLICT, PatchOutcome.FINDINGS))


class LogCondition(Enum):
    """What must always hold."""

    KNOWN_ANSWER = "each answer is of a known kind"
    ACCEPTED_ONCE = "an accepted patch is in the log once, as its operator was told"
    REFUSED = "a refused patch is not in the log"
    ONE_ORDER = "numbers of changes have no gaps"
    ONE_VERSION = "versions of an object rise by one"
    KEPT = "each accepted change stays in force until another one replaces it"
    RISING = "the number of an instance does not fall"
    IN_FORCE = "all entries reach the newest number in time"


@dataclass(frozen=True)
class LogViolation:
    """A condition that did not hold, with the evidence."""

    condition: LogCondition
    subject: str
    evidence: str

    def __str__(self) -> str:
        return f"{self.condition.value}: {self.subject}: {self.evidence}"


def check_operators(history: OperatorHistory, timed: bool = True) -> list[LogViolation]:
    """Return every violation in a history.

    Parameters
    ----------
    history : OperatorHistory
        What operators were told, and the log at the end.
    timed : bool
        Whether bounds on time are checked as well.
    """
    return [
        *_check_answers(history),
        *_check_accepted(history),
        *_check_refused(history),
        *_check_order(history),
        *_check_versions(history),
        *_check_kept(history),
        *_check_rising(history),
        *_check_in_force(history, timed),
    ]


def _check_answers(history: OperatorHistory) -> Iterator[LogViolation]:
    for patch in history.patches:
        for answer in patch.answers:
            if answer.outcome is PatchOutcome.UNEXPECTED:
                evidence = f"{answer.admin} answered {answer.message}"
                yield LogViolation(LogCondition.KNOWN_ANSWER, patch.patch_id, evidence)


def _check_accepted(history: OperatorHistory) -> Iterator[LogViolation]:
    logged = _changes_by_patch(history)
    for patch_id, changes in logged.items():
        if len(changes) > 1:
            evidence = f"has the numbers {[change.number for change in changes]}"
            yield LogViolation(LogCondition.ACCEPTED_ONCE, patch_id, evidence)
    for patch in history.patches:
        kept = [(one.number, _version_of(one, patch)) for one in logged[patch.patch_id]]
        for answer in patch.answers:
            told = (answer.number, answer.version)
            if answer.outcome is PatchOutcome.ACCEPTED and told not in kept:
                evidence = f"was told number and version {told}, the log has {kept}"
                yield LogViolation(LogCondition.ACCEPTED_ONCE, patch.patch_id, evidence)


def _check_refused(history: OperatorHistory) -> Iterator[LogViolation]:
    """Check patches with a refusal, and those said never to have landed."""
    logged = _changes_by_patch(history)
    for patch in history.patches:
        outcomes = {answer.outcome for answer in patch.answers}
        not_landed = outcomes == {PatchOutcome.UNAVAILABLE} and not any(
            answer.may_have_landed for answer in patch.answers
        )
        if logged[patch.patch_id] and (outcomes & REFUSALS or not_landed):
            told = sorted(outcome.value for outcome in outcomes)
            evidence = f"was answered {told} and has the number "
            evidence += f"{logged[patch.patch_id][0].number}"
            yield LogViolation(LogCondition.REFUSED, patch.patch_id, evidence)


def _check_order(history: OperatorHistory) -> Iterator[LogViolation]:
    for expected, change in enumerate(history.changes, start=1):
        if change.number != expected:
            evidence = f"has the number {change.number} in place {expected}"
            yield LogViolation(LogCondition.ONE_ORDER, change.patch_id, evidence)
            return


def _check_versions(history: OperatorHistory) -> Iterator[LogViolation]:
    last: defaultdict[tuple[str, str], int] = defaultdict(int)
    for change in history.changes:
        for edit in change.edits:
            key = (edit.kind, edit.name)
            versions = (edit.base_version, edit.new_version)
            if versions != (last[key], last[key] + 1):
                evidence = f"{change.patch_id} goes from {versions[0]} to {versions[1]}"
                evidence += f" after version {last[key]}"
                yield LogViolation(LogCondition.ONE_VERSION, "/".join(key), evidence)
            last[key] = max(last[key], edit.new_version)


def _check_kept(history: OperatorHistory) -> Iterator[LogViolation]:
    """Replay the patches and compare each value and the objects at the end."""
    patches = {patch.patch_id: patch for patch in history.patches}
    values: dict[tuple[str, str], dict[str, Any] | None] = {}
    versions: dict[tuple[str, str], int] = {}
    for change in history.changes:
        patch = patches.get(change.patch_id)
        for edit in change.edits:
            key = (edit.kind, edit.name)
            if patch and edit.value != _patched(values.get(key), patch):
                evidence = f"{change.patch_id} changed more or less than it asked for"
                yield LogViolation(LogCondition.KEPT, "/".join(key), evidence)
            values[key] = edit.value
            versions[key] = edit.new_version
    shown = {(one.kind, one.name): one for one in history.objects}
    for key, value in values.items():
        present = (shown[key].version, shown[key].value) if key in shown else None
        wanted = (versions[key], value) if value is not None else None
        if present != wanted:
            evidence = f"the log ends with version {versions[key]}, in force is "
            evidence += f"{present[0] if present else 'none'}"
            yield LogViolation(LogCondition.KEPT, "/".join(key), evidence)


def _check_rising(history: OperatorHistory) -> Iterator[LogViolation]:
    highest: dict[tuple, int] = {}
    for one in history.numbers:
        key = (one.source, one.source_process, one.instance, one.process)
        before = highest.get(key, 0)
        if one.number < before:
            evidence = f"fell from {before} to {one.number} as shown by {one.source}"
            evidence += f" at {one.at_ms:.0f} ms"
            yield LogViolation(LogCondition.RISING, one.instance, evidence)
        highest[key] = one.number


def _check_in_force(history: OperatorHistory, timed: bool) -> Iterator[LogViolation]:
    newest = str(max((change.number for change in history.changes), default=0))
    if history.settled_ms is None:
        yield LogViolation(LogCondition.IN_FORCE, newest, "some entry never had it")
    elif timed and history.settled_ms > IN_FORCE_LIMIT_MS:
        evidence = f"it took {history.settled_ms:.0f} ms"
        yield LogViolation(LogCondition.IN_FORCE, newest, evidence)


def _changes_by_patch(history: OperatorHistory) -> defaultdict[str, list[Change]]:
    found: defaultdict[str, list[Change]] = defaultdict(list)
    for change in history.changes:
        found[change.patch_id].append(change)
    return found


def _version_of(change: Change, patch: PatchRecord) -> int:
    versions = [
        edit.new_version
        for edit in change.edits
        if (edit.kind, edit.name) == (patch.kind, patch.name)
    ]
    return versions[0] if versions else 0


def _patched(value: dict[str, Any] | None, patch: PatchRecord) -> dict[str, Any]:
    return {**(value or {}), patch.field: patch.value}
