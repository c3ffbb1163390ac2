"""Accepted configuration: its log, its replicas and its distribution."""

from .state import EMPTY_STATE, ConfigurationState, ObjectKey, VersionedObject

__all__ = ["EMPTY_STATE", "ConfigurationState", "ObjectKey", "VersionedObject"]
