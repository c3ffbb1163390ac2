"""Settings of the stand-ins, read from JSON with comments."""

from pathlib import Path
from typing import Annotated, Literal

import jsonc
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from acaciapier.core.findings import Findings

from .faults import Faults

MEGABYTE = 1_000_000


class Settings(BaseModel):
    """Settings shared by all kinds of stand-ins."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65_535, description="0: any free port")
    port_path: Path | None = Field(
        default=None, description="file that receives the bound port"
    )
    seed: int = 0
    faults: Faults = Faults()


class ObjectApiSettings(Settings):
    """Settings of the object API."""

    kind: Literal["object-api"] = "object-api"
    writes_per_s: float = Field(default=400.0, gt=0)
    reads_per_s: float = Field(default=2_000.0, gt=0)
    latency_ms: float = Field(default=2.0, ge=0)
    max_value_bytes: int = Field(default=MEGABYTE, gt=0)
    kept_events: int = Field(default=10_000, gt=0)
    max_wait_ms: float = Field(default=60_000.0, gt=0)


class InstanceListSettings(Settings):
    """Settings of the instance list."""

    kind: Literal["instance-list"] = "instance-list"
    lag_ms: float = Field(default=0.0, ge=0)


class WeightStoreSettings(Settings):
    """Settings of the weight store; each load uses its size from the allowance."""

    kind: Literal["weight-store"] = "weight-store"
    size_bytes: dict[str, float] = Field(default_factory=dict)
    default_size_bytes: float = Field(default=10e9, gt=0)
    transfer_bytes_per_s: float = Field(default=10e9, gt=0, description="per load")
    allowance_bytes_per_s: float = Field(default=10e9, gt=0)
    allowance_burst_bytes: float = Field(default=40e9, gt=0)


class TargetSettings(Settings):
    """Settings shared by all targets."""

    id: str = "target-1"
    pool: str | None = None
    data_centre: str = "dc-1"
    region: str = "region-1"
    instance_list_url: str | None = None
    book_path: Path | None = None
    slots: int = Field(default=8, gt=0)
    max_queued: int = Field(default=64, ge=0)
    load_lag_ms: float = Field(default=0.0, ge=0)
    retry_after_ms: float = Field(default=200.0, ge=0)
    drain_ms: float = Field(
        default=10_000.0, ge=0, description="longest wait for work on SIGTERM"
    )


class PoolSettings(TargetSettings):
    """Settings of an encoder, retriever or reranker with lognormal service times."""

    kind: Literal["pool"] = "pool"
    serves: Literal["encode", "retrieve", "rerank"] = "encode"
    median_ms: float = Field(default=20.0, ge=0)
    sigma: float = Field(default=0.3, ge=0)


class ServiceSettings(TargetSettings):
    """Settings of a plain service whose calls are not repeatable."""

    kind: Literal["service"] = "service"
    median_ms: float = Field(default=15.0, ge=0)
    sigma: float = Field(default=0.3, ge=0)


class EngineSettings(TargetSettings):
    """Settings of a model engine with continuous batching."""

    kind: Literal["engine"] = "engine"
    slots: int = Field(default=32, gt=0)
    step_ms: float = Field(default=15.0, gt=0)
    step_ms_per_stream: float = Field(default=0.3, ge=0)
    tokens_per_step: int = Field(default=1, gt=0)
    prefill_ms_per_token: float = Field(default=0.05, ge=0)
    prefill_tokens_per_step: int = Field(default=2_048, gt=0)
    cache_tokens: int = Field(default=50_000, ge=0)
    grace_ms: float = Field(default=5_000.0, ge=0)
    kept_streams: int = Field(default=2_000, ge=0)
    event_lag_ms: float = Field(default=200.0, ge=0)
    event_gap_share: float = Field(default=0.02, ge=0, le=1)
    checks_fencing: bool = True
    model: str = "model-1"
    model_version: str = "1"
    adapters: tuple[str, ...] = ()
    role: Literal["prefill", "decode", "both"] = "both"
    weight_store_url: str | None = None


AnySettings = Annotated[
    ObjectApiSettings
    | InstanceListSettings
    | WeightStoreSettings
    | PoolSettings
    | ServiceSettings
    | EngineSettings,
    Field(discriminator="kind"),
]

_ADAPTER = TypeAdapter(AnySettings)


def load_settings(kind: str, path: Path) -> Settings:
    """Load and validate the settings of a stand-in of `kind`.

    Raises
    ------
    acaciapier.exceptions.FindingsError
        If the file is invalid; the exception lists every problem.
    """
    findings = Findings()
    settings = None
    try:
        settings = _ADAPTER.validate_python(
            {**jsonc.loads(path.read_text()), "kind": kind}
        )
    except ValidationError as problem:
        findings.add_validation_error(problem)
    except ValueError as problem:
        findings.add("(whole file)", str(problem))
    findings.raise_if_any(str(path))
    return settings
