"""Tests that the checker finds each kind of planted fault."""

import msgspec
import pytest

from acaciapier.objects.models import Pipeline
from acaciapier_bench.history import CallerRecord, History, check_history
from acaciapier_bench.history.checker import Condition, check_poison
from acaciapier_bench.history.expected import expected_answer
from acaciapier_bench.history.records import LeavingRecord
from acaciapier_standins.records import WorkEntry

PIPELINE = Pipeline.model_validate(
    {
        "name": "quote",
        "stages": [
            {"name": "embed", "kind": "encode", "pool": "encode"},
            {
                "name": "draft",
                "kind": "generate",
                "pool": "generate",
                "needs": ["embed"],
                "max_tokens": 5,
            },
        ],
    }
)
PIPELINES = {"quote": PIPELINE}


def make_caller(**changes):
    value = {"text": "a"}
    record = CallerRecord(
        request_id="r-1",
        workspace="sales",
        pipeline="quote",
        input=value,
        repeatable=False,
        sent_ms=0.0,
        ended_ms=100.0,
        outcome="done",
        text=expected_answer(PIPELINE, "sales", value),
        count=5,
        deadline_ms=3000,
    )
    return msgspec.structs.replace(record, **changes)


def make_work(**changes):
    record = WorkEntry(
        number=1,
        target="t-1",
        incarnation=1,
        request_id="r-1",
        run_id="run-1",
        workspace="sales",
        pipeline="quote",
        stage="embed",
        attempt=1,
        started_ms=10.0,
        ended_ms=20.0,
    )
    return msgspec.structs.replace(record, **changes)


def check(callers, work=(), leaving=()):
    history = History(callers=list(callers), work=list(work), leaving=list(leaving))
    return {violation.condition for violation in check_history(history, PIPELINES)}


def test_sound_history_passes():
    assert check([make_caller()], [make_work()]) == set()


@pytest.mark.parametrize(
    ("callers", "work", "leaving", "condition"),
    [
        ([make_caller(text="other ")], [], [], Condition.OWN_ANSWER),
        ([make_caller(workspace="other")], [], [], Condition.OWN_ANSWER),
        ([make_caller(outcome=None, finals=0)], [], [], Condition.ONE_FINAL),
        ([make_caller(finals=2)], [], [], Condition.ONE_FINAL),
        ([make_caller(ended_ms=9_000.0)], [], [], Condition.ONE_FINAL),
        (
            [make_caller(outcome="not_run", text="")],
            [make_work()],
            [],
            Condition.TRUE_NOT_RUN,
        ),
        (
            [make_caller()],
            [make_work(), make_work(number=2, target="t-2")],
            [],
            Condition.AT_MOST_ONCE,
        ),
        (
            [make_caller()],
            [make_work(started_ms=4_000.0)],
            [LeavingRecord(target="t-1", incarnation=1, since_ms=900.0)],
            Condition.LEAVING,
        ),
    ],
)
def test_planted_fault_is_found(callers, work, leaving, condition):
    assert check(callers, work, leaving) == {condition}


def test_repeatable_stage_may_be_started_again():
    work = [make_work(), make_work(number=2)]
    assert check([make_caller(repeatable=True)], work) == set()


def test_third_crashed_target_is_found():
    assert check_poison({"f": 2}) == []
    assert check_poison({"f": 3})[0].condition is Condition.POISON
