"""Simulated platform services and targets for tests and benchmarks."""

from . import engine, instance_list, object_api, pool, weight_store
from .outputs import expected_output, expected_tokens
from .settings import (
    EngineSettings,
    InstanceListSettings,
    ObjectApiSettings,
    PoolSettings,
    ServiceSettings,
    WeightStoreSettings,
    load_settings,
)
from .standin import Bound, serve_standin

__all__ = [
    "Bound",
    "EngineSettings",
    "InstanceListSettings",
    "ObjectApiSettings",
    "PoolSettings",
    "ServiceSettings",
    "WeightStoreSettings",
    "engine",
    "expected_output",
    "expected_tokens",
    "instance_list",
    "load_settings",
    "object_api",
    "pool",
    "serve_standin",
    "weight_store",
]
