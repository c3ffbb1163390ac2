"""Executes a request by running the stages of its pipeline."""

from .context import ExecutorServices
from .executor import Executor
from .models import CallerRequest, FinalEvent, RunIdentity, canonical_json, refusal
from .read_coalescer import ReadCoalescer
from .record import RecordReader, RunRecord
from .resume import ResumeTokenPayload, ResumeTokenSigner

__all__ = [
    "CallerRequest",
    "Executor",
    "ExecutorServices",
    "FinalEvent",
    "ReadCoalescer",
    "RecordReader",
    "ResumeTokenPayload",
    "ResumeTokenSigner",
    "RunIdentity",
    "RunRecord",
    "canonical_json",
    "refusal",
]
