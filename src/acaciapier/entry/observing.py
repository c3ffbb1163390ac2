"""What is logged and measured when a run has ended."""

from ..core.clock import to_ms
from ..observability import Metrics, get_logger
from ..pipeline import RunRecord
from ..pipeline.models import StageEvent

log = get_logger("acaciapier.entry")

REPEATABLE = "repeatable"
NOT_REPEATABLE = "not_repeatable"


def observe_end(record: RunRecord, metrics: Metrics) -> None:
    """Count an ended run, and record its times by workspace and class."""
    request = record.request
    final = record.final
    request_class = REPEATABLE if request.repeatable else NOT_REPEATABLE
    elapsed_ms = to_ms(record.ended_s - record.started_s)
    metrics.request_ended(request.workspace, request_class, final.outcome, elapsed_ms)
    if record.first_part_s is not None:
        first_ms = to_ms(record.first_part_s - record.started_s)
        metrics.first_token(request.workspace, request_class, first_ms)
    if final.cause is not None:
        metrics.refused(request.workspace, final.cause)
    for hint in record.hints:
        if isinstance(hint, StageEvent):
            metrics.stage_ended(request.workspace, hint.stage, hint.elapsed_ms)


def log_end(record: RunRecord) -> None:
    """Log how a run has ended, with its names."""
    request = record.request
    final = record.final
    fields = {
        "workspace": request.workspace,
        "request_id": request.request_id,
        "run_id": record.identity.run_id,
        "pipeline": request.pipeline,
        "outcome": final.outcome,
        "cause": final.cause,
        "elapsed_ms": round(to_ms(record.ended_s - record.started_s), 1),
        "tokens": final.count,
    }
    log.info("request {} has ended", request.request_id, extra=fields)
