"""Histories of concurrent runs: what callers received and what targets ran."""

from .checker import Violation, check_history
from .records import CallerRecord, History

__all__ = ["CallerRecord", "History", "Violation", "check_history"]
