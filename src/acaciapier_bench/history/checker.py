"""Checks a history against what must always hold."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from acaciapier.objects.models import Pipeline
from acaciapier_standins.records import WorkEntry

from .expected import expected_answer
from .records import CallerRecord, History

LEAVING_LIMIT_MS = 3_000.0
PROMPT_FINAL_SLACK_MS = 1_500.0
MAX_CRASHED_TARGETS = 2


class Condition(Enum):
    """What must always hold."""

    OWN_ANSWER = "a done request has the whole answer to itself"
    ONE_FINAL = "each request has one final event, soon after its deadline at most"
    TRUE_NOT_RUN = "a request that is called not run has not run"
    AT_MOST_ONCE = "a request that may not be repeated runs at most once"
    LEAVING = "a leaving target gets no new work after 3 s"
    NO_CUT = "a graceful shutdown cuts off no request"
    POISON = "a request crashes at most two targets"


@dataclass(frozen=True)
class Violation:
    """A condition that did not hold, with the evidence."""

    condition: Condition
    request_id: str
    evidence: str

    def __str__(self) -> str:
        return f"{self.condition.value}: {self.request_id}: {self.evidence}"


def check_history(
    history: History, pipelines: Mapping[str, Pipeline], timed: bool = True
) -> list[Violation]:
    """Return every violation in a history.

    Parameters
    ----------
    history : History
        What callers received and what targets ran.
    pipelines : mapping of str to Pipeline
        The pipelines by name, as they were during the whole run.
    timed : bool
        Whether bounds on time are checked as well.
    """
    violations = [
        *_check_answers(history, pipelines),
        *_check_finals(history, timed),
        *_check_not_run(history),
        *_check_at_most_once(history, pipelines),
    ]
    if timed:
        violations += _check_leaving(history)
    return violations


def _check_answers(
    history: History, pipelines: Mapping[str, Pipeline]
) -> Iterator[Violation]:
    for record in history.callers:
        if record.outcome != "done" or record.cause is not None:
            continue
        pipeline = pipelines[record.pipeline]
        expected = expected_answer(pipeline, record.workspace, record.input)
        answer = record.text if isinstance(expected, str) else record.value
        if answer != expected:
            evidence = f"received {str(answer)[:60]!r} not {str(expected)[:60]!r}"
            yield Violation(Condition.OWN_ANSWER, record.request_id, evidence)


def _check_finals(history: History, timed: bool) -> Iterator[Violation]:
    for record in history.callers:
        if record.finals != 1 or record.outcome is None:
            evidence = f"{record.finals} final events"
            yield Violation(Condition.ONE_FINAL, record.request_id, evidence)
            continue
        late_ms = record.ended_ms - record.sent_ms - record.deadline_ms
        if timed and record.deadline_ms and late_ms > PROMPT_FINAL_SLACK_MS:
            evidence = f"the final event came {late_ms:.0f} ms after the deadline"
            yield Violation(Condition.ONE_FINAL, record.request_id, evidence)


def _check_not_run(history: History) -> Iterator[Violation]:
    """Compare refusals with the work that was started until they were received.

    Of several sendings of one id, the work may belong to another one that was
    under way at the time; an id all of whose sendings are called not run has no
    work at all.
    """
    work = _work_by_request(history)
    sendings: dict[tuple[str, str], list[CallerRecord]] = defaultdict(list)
    for record in history.callers:
        sendings[record.workspace, record.request_id].append(record)
    for key, records in sendings.items():
        if any(record.outcome != "not_run" for record in records):
            continue
        if work[key]:
            first = work[key][0]
            evidence = f"stage {first.stage} was started on {first.target}"
            yield Violation(Condition.TRUE_NOT_RUN, key[1], evidence)


def _check_at_most_once(
    history: History, pipelines: Mapping[str, Pipeline]
) -> Iterator[Violation]:
    strict = {
        (record.workspace, record.request_id)
        for record in history.callers
        if not record.repeatable
    }
    for key, started in _work_by_request(history).items():
        counts = Counter(work.stage for work in started)
        for stage, count in counts.items():
            once = key in strict or _runs_once(pipelines, started[0].pipeline, stage)
            if once and count > 1:
                targets = [work.target for work in started if work.stage == stage]
                evidence = f"stage {stage} was started {count} times, on {targets}"
                yield Violation(Condition.AT_MOST_ONCE, key[1], evidence)


def _check_leaving(history: History) -> Iterator[Violation]:
    since = {
        (record.target, record.incarnation): record.since_ms
        for record in history.leaving
    }
    for work in history.work:
        left_ms = since.get((work.target, work.incarnation))
        if left_ms is None:
            continue
        after_ms = work.started_ms - left_ms
        if after_ms > LEAVING_LIMIT_MS:
            evidence = f"{work.target} got work {after_ms:.0f} ms after its first sign"
            yield Violation(Condition.LEAVING, work.request_id, evidence)


def check_poison(crashed_by: Mapping[str, int]) -> list[Violation]:
    """Return a violation for each fingerprint that crashed too many targets."""
    return [
        Violation(Condition.POISON, name, f"crashed {count} targets")
        for name, count in crashed_by.items()
        if count > MAX_CRASHED_TARGETS
    ]


def check_graceful_stop(history: History) -> list[Violation]:
    """Return a violation for each request that a run of graceful stops cut off."""
    return [
        Violation(Condition.NO_CUT, record.request_id, f"{record.outcome}")
        for record in history.callers
        if record.outcome != "done"
    ]


def _runs_once(pipelines: Mapping[str, Pipeline], pipeline: str, stage: str) -> bool:
    if pipeline not in pipelines:
        return False
    return any(
        one.name == stage and not one.repeatable for one in pipelines[pipeline].stages
    )


def _work_by_request(
    history: History,
) -> defaultdict[tuple[str, str], list[WorkEntry]]:
    work: defaultdict[tuple[str, str], list[WorkEntry]] = defaultdict(list)
    for record in history.work:
        work[record.workspace, record.request_id].append(record)
    return work
