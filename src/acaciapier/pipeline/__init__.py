"""Executes a request by running the stages of its pipeline."""

from .context import ExecutorServices
from .executor import Executor
from .models import CallerRequest, FinalEvent, RunIdentity, canonical_json, refusal
from .pace import StreamPace
from .record import RecordReader, RunRecord
from .resume import ResumeTokenPayload, ResumeTokens

__all__ = [
    "CallerRequest",
    "Executor",
    "ExecutorServices",
    "FinalEvent",
    "RecordReader",
    "ResumeTokenPayload",
    "ResumeTokens",
    "RunIdentity",
    "RunRecord",
    "StreamPace",
    "canonical_json",
    "refusal",
]
