"""Models of the settings files of the binaries."""

from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

MAX_PORT = 65_535
MIN_FLEET_KEY_CHARS = 16


class SettingsModel(BaseModel):
    """Base of all settings: immutable; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSettings(SettingsModel):
    """Id and location of this instance."""

    id: str = Field(min_length=1, max_length=100)
    data_centre: str = Field(min_length=1)
    region: str = Field(min_length=1)


class TlsSettings(SettingsModel):
    """Certificate and key of a listener, and the authority that it trusts."""

    certificate_path: str
    key_path: str
    authority_path: str | None = None


class ListenSettings(SettingsModel):
    """Address of a listener; with port 0, the operating system chooses a free port."""

    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=MAX_PORT)
    tls: TlsSettings | None = None


class SeedSettings(SettingsModel):
    """Address of a peer to contact before the platform's instance list is read."""

    instance: str
    host: str
    port: int = Field(ge=1, le=MAX_PORT)


class PlatformSettings(SettingsModel):
    """URLs of the platform's services, and the rate limit of store calls."""

    object_api_url: str
    instance_list_url: str
    store_calls_per_s: float = Field(default=100.0, gt=0)


class LogLevel(Enum):
    """Minimum level of log messages."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSettings(SettingsModel):
    """Level and destination of the structured log."""

    level: LogLevel = LogLevel.INFO
    path: str | None = Field(default=None, description="standard error if null")


class PathSettings(SettingsModel):
    """Limits and timeouts of the request path."""

    max_body_bytes: int = Field(default=1_048_576, gt=0)
    max_nesting: int = Field(default=32, gt=0)
    max_open_requests: int = Field(default=2_000, gt=0)
    reconnect_grace_ms: int = Field(default=500, ge=0)
    write_stall_ms: int = Field(default=5_000, gt=0)
    flush_interval_ms: float = Field(default=15.0, ge=0)
    keep_ended_ms: int = Field(default=10_000, ge=0)
    keep_ended_claimed_ms: int = Field(default=60_000, ge=0)


FleetKey = Annotated[str, Field(min_length=MIN_FLEET_KEY_CHARS)]


class FleetSettings(SettingsModel):
    """Settings that all binaries of the fleet share."""

    instance: InstanceSettings
    listen: ListenSettings = ListenSettings()
    inner: ListenSettings = ListenSettings()
    fleet_keys: tuple[FleetKey, ...] = Field(min_length=1)
    platform: PlatformSettings
    seeds: tuple[SeedSettings, ...] = ()
    log: LogSettings = LogSettings()


class EntrySettings(FleetSettings):
    """Settings of `acaciapier-entry`."""

    path: PathSettings = PathSettings()
    max_drain_ms: int = Field(default=30_000, ge=0)


class OperatorToken(SettingsModel):
    """SHA-256 digest of an operator's token, with the operator's name and role."""

    name: str
    role: str
    token_sha256: str


class AdminSettings(FleetSettings):
    """Settings of `acaciapier-admin`."""

    operators: tuple[OperatorToken, ...] = ()


class ControllerSettings(FleetSettings):
    """Settings of `acaciapier-controller`."""

    rollout_share_percent: float = Field(default=25.0, gt=0, le=100)
