"""Validation of request bodies; all findings are reported together."""

import uuid
from dataclasses import dataclass
from typing import Any

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from ..core.findings import Findings
from ..core.ids import PipelineName, RequestId, WorkspaceId
from ..objects.models import MAX_DEADLINE_MS
from ..pipeline import CallerRequest

REQUEST_ID_PATTERN = r"^[A-Za-z0-9._:-]{1,128}$"
TIMESTAMPED_UUID_VERSION = 7


class RequestBody(BaseModel):
    """Body of ``POST /v1/requests``."""

    model_config = ConfigDict(extra="forbid", strict=True)

    request_id: str = Field(pattern=REQUEST_ID_PATTERN)
    pipeline: str = Field(min_length=1, max_length=63)
    input: Any = None
    deadline_ms: int | None = Field(default=None, gt=0, le=MAX_DEADLINE_MS)
    repeatable: bool = True
    recover: bool = False


@dataclass(frozen=True)
class BodyLimits:
    """Limits on the body of a request."""

    max_nesting: int


def parse_request(
    content: bytes, workspace: WorkspaceId, limits: BodyLimits
) -> Result[CallerRequest, Findings]:
    """Parse and validate `content`; return all findings if it is invalid."""
    findings = Findings()
    try:
        raw = msgspec.json.decode(content)
    except (msgspec.DecodeError, RecursionError) as error:
        findings.add("(whole body)", str(error))
        return Err(findings)
    if is_nested_deeper(raw, limits.max_nesting):
        findings.add("input", f"is nested deeper than {limits.max_nesting}")
        return Err(findings)
    try:
        body = RequestBody.model_validate(raw)
    except ValidationError as error:
        findings.add_validation_error(error)
        return Err(findings)
    return Ok(
        CallerRequest(
            workspace=workspace,
            request_id=RequestId(body.request_id),
            pipeline=PipelineName(body.pipeline),
            input=body.input,
            deadline_ms=body.deadline_ms or 0,
            repeatable=body.repeatable,
            recover=body.recover,
        )
    )


def is_nested_deeper(value: Any, depth: int) -> bool:
    """Return whether lists and objects in `value` are nested deeper than `depth`."""
    if isinstance(value, dict):
        children = value.values()
    elif isinstance(value, list):
        children = value
    else:
        return False
    if depth == 0:
        return True
    return any(is_nested_deeper(child, depth - 1) for child in children)


def is_uuid7(request_id: str) -> bool:
    """Return whether an id is a UUID version 7, whose timestamp bounds its claim."""
    try:
        return uuid.UUID(request_id).version == TIMESTAMPED_UUID_VERSION
    except ValueError:
        return False
