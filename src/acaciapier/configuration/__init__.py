"""The configuration log, its replicas, and distribution to the instances."""

from .answers import Accepted, Unavailable
from .decisions import Conflict, Rejected, VersionMismatch
from .history import History, NotKept, ObjectVersion
from .limits import LogLimits
from .log import ConfigurationLog, HeadCorrupt
from .requests import Delete, Patch, Replace, RequestedChange, RequestedEdit
from .state import EMPTY_STATE, ConfigurationState, ObjectKey, VersionedObject

__all__ = [
    "EMPTY_STATE",
    "Accepted",
    "ConfigurationLog",
    "ConfigurationState",
    "Conflict",
    "Delete",
    "HeadCorrupt",
    "History",
    "LogLimits",
    "NotKept",
    "ObjectKey",
    "ObjectVersion",
    "Patch",
    "Rejected",
    "Replace",
    "RequestedChange",
    "RequestedEdit",
    "Unavailable",
    "VersionMismatch",
    "VersionedObject",
]
