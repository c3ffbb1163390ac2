"""Racing operators: the checker finds planted faults, a short run finds none."""

import msgspec
import pytest
import trio

from acaciapier.admin.bodies import ObjectBody
from acaciapier.objects import Change, Edit
from acaciapier_bench.history.operator_checker import LogCondition, check_operators
from acaciapier_bench.history.operator_records import (
    NumberRecord,
    OperatorHistory,
    PatchAnswer,
    PatchOutcome,
    PatchRecord,
)
from acaciapier_bench.history.operators import OperatorsOptions, run_operators

KIND, NAME, FIELD = "workspace", "hotels", "rate_per_s"
SHORT_S = 6.0


def make_change(number, patch_id, value):
    base = number - 1
    edit = Edit(KIND, NAME, base, number, {FIELD: value, "weight": 8}, base)
    return Change(number, patch_id, "local", 0, "", (edit,))


def make_patch(patch_id, base, value, outcome=PatchOutcome.ACCEPTED, **answer):
    if outcome is PatchOutcome.ACCEPTED:
        answer = {"number": base + 1, "version": base + 1} | answer
    answers = [PatchAnswer("admin-1", outcome, 0.0, 1.0, **answer)]
    return PatchRecord(patch_id, KIND, NAME, base, FIELD, value, answers)


def make_numbers(*numbers):
    return [
        NumberRecord("admin-1", 10, "entry-1", 20, number, at_ms)
        for at_ms, number in enumerate(numbers)
    ]


def make_history(**changes):
    """Return a history of two accepted patches, with `changes` made to it."""
    history = OperatorHistory(
        patches=[make_patch("a", 1, 100), make_patch("b", 2, 300)],
        numbers=make_numbers(1, 2, 3),
        changes=[
            make_change(1, "seed", 50),
            make_change(2, "a", 100),
            make_change(3, "b", 300),
        ],
        objects=[ObjectBody(KIND, NAME, 3, 3, {FIELD: 300, "weight": 8})],
        settled_ms=100.0,
    )
    return msgspec.structs.replace(history, **changes)


def conditions(history, timed=True):
    return {one.condition for one in check_operators(history, timed)}


def with_change(change):
    changes = [*make_history().changes, change]
    value = change.edits[0].value
    version = change.edits[0].new_version
    objects = [ObjectBody(KIND, NAME, version, change.number, value)]
    return make_history(changes=changes, objects=objects)


def test_good_history_has_no_violation():
    assert check_operators(make_history()) == []


def test_lost_patch_is_found():
    lost = make_patch("c", 3, 400)
    history = make_history(patches=[*make_history().patches, lost])
    assert conditions(history) == {LogCondition.ACCEPTED_ONCE}


def test_doubled_patch_is_found():
    history = with_change(make_change(4, "b", 300))
    assert conditions(history) == {LogCondition.ACCEPTED_ONCE}


def test_other_number_or_version_than_told_is_found():
    for told in ({"number": 4}, {"version": 4}):
        patches = [make_patch("a", 1, 100), make_patch("b", 2, 300, **told)]
        history = make_history(patches=patches)
        assert conditions(history) == {LogCondition.ACCEPTED_ONCE}


def test_version_used_twice_is_found():
    edit = msgspec.structs.replace(make_change(3, "", 500).edits[0])
    again = Change(4, "other", "local", 0, "", (edit,))
    assert conditions(with_change(again)) == {LogCondition.ONE_VERSION}


@pytest.mark.parametrize(
    "outcome", [PatchOutcome.CONFLICT, PatchOutcome.FINDINGS, PatchOutcome.UNAVAILABLE]
)
def test_refused_patch_in_the_log_is_found(outcome):
    patches = [make_patch("a", 1, 100), make_patch("b", 2, 300, outcome)]
    assert conditions(make_history(patches=patches)) == {LogCondition.REFUSED}


def test_patch_that_may_have_landed_can_be_in_the_log():
    unknown = make_patch("b", 2, 300, PatchOutcome.UNAVAILABLE, may_have_landed=True)
    lost = make_patch("b", 2, 300, PatchOutcome.LOST, may_have_landed=True)
    for patch in (unknown, lost):
        history = make_history(patches=[make_patch("a", 1, 100), patch])
        assert check_operators(history) == []


def test_gap_in_the_log_is_found():
    change = msgspec.structs.replace(make_change(4, "other", 500), number=5)
    assert conditions(with_change(change)) == {LogCondition.ONE_ORDER}


def test_reverted_change_is_found():
    edit = msgspec.structs.replace(
        make_change(3, "", 0).edits[0], value={FIELD: 300, "weight": 1}
    )
    changes = make_history().changes
    changes[2] = msgspec.structs.replace(changes[2], edits=(edit,))
    objects = [ObjectBody(KIND, NAME, 3, 3, edit.value)]
    history = make_history(changes=changes, objects=objects)
    assert conditions(history) == {LogCondition.KEPT}


def test_older_object_in_force_is_found():
    older = [ObjectBody(KIND, NAME, 2, 2, {FIELD: 100, "weight": 8})]
    for objects in (older, []):
        assert conditions(make_history(objects=objects)) == {LogCondition.KEPT}


def test_number_that_falls_is_found():
    history = make_history(numbers=make_numbers(1, 3, 2, 3))
    assert conditions(history) == {LogCondition.RISING}


def test_number_may_fall_with_a_new_incarnation():
    numbers = make_numbers(3, 0)
    numbers[1] = msgspec.structs.replace(numbers[1], process=21)
    assert check_operators(make_history(numbers=numbers)) == []


def test_late_or_missing_number_is_found():
    late = make_history(settled_ms=7_001.0)
    assert conditions(late) == {LogCondition.IN_FORCE}
    assert conditions(late, timed=False) == set()
    never = make_history(settled_ms=None)
    assert conditions(never, timed=False) == {LogCondition.IN_FORCE}


def test_unexpected_answer_is_found():
    patch = make_patch("c", 3, 1, PatchOutcome.UNEXPECTED, message="500")
    history = make_history(patches=[*make_history().patches, patch])
    assert conditions(history) == {LogCondition.KNOWN_ANSWER}


def test_log_holds_under_faults(tmp_path):
    options = OperatorsOptions(seed=7, seconds=SHORT_S, timed=False)
    result = trio.run(run_operators, options, tmp_path)
    assert result.violations == []
    assert result.faults
    assert "accepted" in result.outcomes()
