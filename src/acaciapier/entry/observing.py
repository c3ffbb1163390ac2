"""Log entry and metrics of an ended run."""

from ..core.clock import to_ms
from ..observability import Metrics, get_logger
from ..pipeline import RunRecord
from ..pipeline.models import StageEvent

log = get_logger("acaciapier.entry")

REPEATABLE = "repeatable"
NOT_REPEATABLE = "not_repeatable"


def record_end_metrics(record: RunRecord, metrics: Metrics) -> None:
    """Count an ended run and record its durations by workspace and class."""
    request = record.request
    final = record.final
    request_class = REPEATABLE if request.repeatable else NOT_REPEATABLE
    elapsed_ms = to_ms(record.ended_s - record.started_s)
    metrics.request_ended(request.workspace, request_class, final.outcome, elapsed_ms)
    if record.first_part_s is not None:
        first_part_ms = to_ms(record.first_part_s - record.started_s)
        metrics.first_token(request.workspace, request_class, first_part_ms)
    if final.cause is not None:
        metrics.refused(request.workspace, final.cause)
    for event in record.progress_events:
        if isinstance(event, StageEvent):
            metrics.stage_ended(request.workspace, event.stage, event.elapsed_ms)


def log_run_end(record: RunRecord) -> None:
    """Log the outcome of a run with its ids."""
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
    log.info("request {} ended", request.request_id, extra=fields)
