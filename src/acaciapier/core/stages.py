"""Kinds of pipeline stages."""

from enum import Enum


class StageKind(Enum):
    """What a stage does, which determines the kind of target that serves it."""

    ENCODE = "encode"
    RETRIEVE = "retrieve"
    RERANK = "rerank"
    GENERATE = "generate"
    SERVICE = "service"
