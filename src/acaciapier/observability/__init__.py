"""Structured logs and metrics."""

from .logs import get_logger, make_handler
from .metrics import Metrics

__all__ = ["Metrics", "get_logger", "make_handler"]
