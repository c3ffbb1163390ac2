"""Decodes the operator's configuration from its object in the platform's store."""

from typing import Annotated, Any

import msgspec

from ..gateway.models import (
    BatchSpec,
    EngineSpec,
    GatewayConfiguration,
    InputLimits,
    RequestKind,
    RouteRule,
    ServiceName,
    ServiceRule,
    StageRule,
    WorkspaceRule,
)

OBJECT_KIND = "config"
OBJECT_NAME = "main"
BYTES_PER_MB = 1_000_000.0
MS_PER_S = 1_000.0
MAX_COLD_PER_S = 1e6
MAX_COLD_START_S = 3_600.0
MAX_SHOWN_CHARS = 99


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Stage(msgspec.Struct):
    service: str
    after: list[int] = []
    bytes: float = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float
    # Longest gap between two events of a stream; not a time per token.
    itl_target_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    service: str | None = None
    backends: list[_Backend] = []
    stages: list[_Stage] = []
    public: bool = False
    resumable: bool = False
    # Names of regions; absent or empty for any.
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: int


class _Segments(msgspec.Struct):
    # `batch` limits the pieces of one call. The platform's `slots` and `queue`, which
    # are not decoded, count calls.
    batch: int
    call_ms: float
    item_ms: float
    headroom_mb: float
    handle_s: float


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 100
    engine: _Engine | None = None
    segments: _Segments | None = None
    # Decoded one by one, so that an odd value does not hide the configuration.
    cold_per_s: Any = None
    cold_start_s: Any = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def decode_configuration(spec: Any) -> GatewayConfiguration:
    """Decode the value of the configuration object.

    Raises
    ------
    ValueError
        If it does not match the published schema.
    """
    try:
        raw = msgspec.convert(spec, _Configuration, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(f"the configuration is malformed: {error}") from error
    ignored: list[tuple[str, str]] = []
    return GatewayConfiguration(
        version=raw.version,
        routes=tuple(_route(route) for route in raw.routes),
        services={
            ServiceName(service.name): _service(service, ignored)
            for service in raw.services
        },
        workspaces=None if raw.tenants is None else tuple(map(_workspace, raw.tenants)),
        limits=InputLimits(
            raw.limits.max_header_bytes,
            raw.limits.max_body_bytes,
            raw.limits.header_timeout_ms,
            raw.limits.idle_timeout_ms,
        ),
        ignored_fields=tuple(ignored),
    )


def _route(raw: _Route) -> RouteRule:
    if raw.backends:
        services = tuple((ServiceName(b.service), b.weight) for b in raw.backends)
    else:
        services = ((ServiceName(raw.service or ""), 1.0),)
    return RouteRule(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.path_prefix,
        kind=RequestKind(raw.kind),
        services=services,
        timeout_ms=raw.timeout_ms,
        objective_ms=raw.slo_ms,
        max_event_gap_ms=raw.itl_target_ms,
        priority=raw.priority,
        max_attempts=max(1, raw.max_attempts),
        public=raw.public,
        resumable=raw.resumable,
        stages=tuple(
            StageRule(ServiceName(s.service), tuple(s.after), int(s.bytes))
            for s in raw.stages
        ),
        allowed_regions=frozenset(raw.allowed_regions or ()),
    )


def _service(raw: _Service, ignored: list[tuple[str, str]]) -> ServiceRule:
    engine = raw.engine and EngineSpec(raw.engine.slots, raw.engine.kv_capacity)
    batching = raw.segments and BatchSpec(
        max_pieces=raw.segments.batch,
        call_ms=raw.segments.call_ms,
        piece_ms=raw.segments.item_ms,
        result_memory_bytes=raw.segments.headroom_mb * BYTES_PER_MB,
        result_ttl_ms=raw.segments.handle_s * MS_PER_S,
    )
    cold_per_s = _number(raw, "cold_per_s", MAX_COLD_PER_S, ignored)
    cold_start_s = _number(raw, "cold_start_s", MAX_COLD_START_S, ignored)
    return ServiceRule(
        ServiceName(raw.name),
        raw.max_conns,
        engine,
        batching,
        cold_per_s,
        cold_start_s * MS_PER_S,
    )


def _number(
    raw: _Service, field: str, most: float, ignored: list[tuple[str, str]]
) -> float:
    """Return a number from 0 to `most`; 0 if it is missing or odd."""
    value = getattr(raw, field)
    if value is None:
        return 0.0
    try:
        meta = msgspec.Meta(ge=0, le=most)
        return msgspec.convert(value, Annotated[float, meta], strict=False)
    except msgspec.ValidationError:
        path = f"services[{raw.name}].{field}"
        ignored.append((path, repr(value)[:MAX_SHOWN_CHARS]))
        return 0.0


def _workspace(raw: _Tenant) -> WorkspaceRule:
    return WorkspaceRule(
        raw.name,
        frozenset(raw.api_keys),
        raw.priority,
        frozenset(raw.allowed_regions or ()),
    )
