"""The answers that the stand-ins give, worked out without running them."""

from typing import Any

from acaciapier.objects.models import Pipeline, Stage, StageKind
from acaciapier_standins import expected_output, expected_tokens


def expected_answer(pipeline: Pipeline, workspace: str, value: Any) -> Any:
    """Return the text or the value that a request must be answered with."""
    outputs: dict[str, Any] = {}
    for stage in pipeline.stages:
        outputs[stage.name] = _output(stage, workspace, _input(stage, value, outputs))
    return outputs[pipeline.stages[-1].name]


def _input(stage: Stage, value: Any, outputs: dict[str, Any]) -> dict[str, Any]:
    fields = value if isinstance(value, dict) else {"input": value}
    if not stage.needs:
        return fields
    return {**fields, "results": {need: outputs[need] for need in stage.needs}}


def _output(stage: Stage, workspace: str, stage_input: dict[str, Any]) -> Any:
    if stage.kind is StageKind.GENERATE:
        return "".join(expected_tokens(workspace, stage_input, stage.max_tokens))
    return expected_output(
        stage.kind.value, workspace, stage_input, dict(stage.parameters)
    )
