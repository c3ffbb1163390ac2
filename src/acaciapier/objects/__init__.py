"""Models of the declared objects, and the checks across several of them."""

from .bundle import (
    MODELS,
    UnreadableObject,
    load_bundle,
    parse_object,
    parse_objects,
    parse_stored,
    read_bundle,
    stored_value,
)
from .changes import Change, DeletedRecord, Edit, ObjectRecord
from .checks import check_objects, critical_path_ms, qualified_name
from .models import (
    DeclaredObject,
    FencingMode,
    Pipeline,
    RouteRule,
    Stage,
    StageKind,
    TargetPool,
    Workspace,
)

__all__ = [
    "MODELS",
    "Change",
    "DeclaredObject",
    "DeletedRecord",
    "Edit",
    "FencingMode",
    "ObjectRecord",
    "Pipeline",
    "RouteRule",
    "Stage",
    "StageKind",
    "TargetPool",
    "UnreadableObject",
    "Workspace",
    "check_objects",
    "critical_path_ms",
    "load_bundle",
    "parse_object",
    "parse_objects",
    "parse_stored",
    "qualified_name",
    "read_bundle",
    "stored_value",
]
