"""Models of the declared objects: pipelines, route rules, pools and workspaces."""

from enum import Enum
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator

from ..core.stages import StageKind

NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
MAX_STAGES = 12
MAX_DEADLINE_MS = 600_000

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class DeclaredModel(BaseModel):
    """Base of all declared objects: immutable; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Stage(DeclaredModel):
    """One stage of a pipeline; a stage without `needs` gets the caller's input."""

    name: Name
    kind: StageKind
    pool: Name
    needs: tuple[Name, ...] = ()
    repeatable: bool = True
    typical_ms: float = Field(default=50.0, gt=0)
    max_tokens: int = Field(default=256, gt=0, le=65_536)
    parameters: dict[str, Any] = Field(default_factory=dict)


class Pipeline(DeclaredModel):
    """A graph of stages; the result of the last stage is the answer."""

    kind: Literal["pipeline"] = "pipeline"
    name: Name
    stages: tuple[Stage, ...]
    deadline_ms: int = Field(default=3_000, gt=0, le=MAX_DEADLINE_MS)

    @field_validator("stages")
    @classmethod
    def _check_stage_count(cls, stages: tuple[Stage, ...]) -> tuple[Stage, ...]:
        if not 1 <= len(stages) <= MAX_STAGES:
            raise ValueError(f"a pipeline has 1 to {MAX_STAGES} stages")
        return stages


class RouteRule(DeclaredModel):
    """Sends a share of the requests for one pipeline to another pipeline.

    Rules are tried in ascending `order`. The first rule applies whose workspaces and
    pipeline match and whose share covers the hash of the request.
    """

    kind: Literal["route"] = "route"
    name: Name
    order: int = 100
    pipeline: Name
    workspaces: tuple[Name, ...] = ()
    to_pipeline: Name
    share_percent: float = Field(default=100.0, ge=0, le=100)


class FencingMode(Enum):
    """Whether the engines of a pool reject commands with an old fencing number."""

    CHECKS = "checks"
    IGNORES = "ignores"


class TargetPool(DeclaredModel):
    """A named set of targets of one kind, with its limits and desired state."""

    kind: Literal["pool"] = "pool"
    name: Name
    serves: StageKind
    max_outstanding: int = Field(default=32, gt=0, description="per target")
    retry_share_percent: float = Field(default=10.0, ge=0, le=100)
    hedge_share_percent: float = Field(default=5.0, ge=0, le=100)
    model: str | None = None
    model_version: str | None = None
    adapters: tuple[str, ...] = ()
    role: Literal["prefill", "decode", "both"] = "both"
    fencing: FencingMode = FencingMode.CHECKS


class Workspace(DeclaredModel):
    """A customer's workspace: its access tokens and its share of the capacity."""

    kind: Literal["workspace"] = "workspace"
    name: Name
    weight: float = Field(default=1.0, gt=0)
    rate_per_s: float = Field(default=100.0, gt=0)
    burst: int = Field(default=100, gt=0)
    token_sha256: tuple[str, ...] = ()


DeclaredObject = Annotated[
    Pipeline | RouteRule | TargetPool | Workspace, Field(discriminator="kind")
]
