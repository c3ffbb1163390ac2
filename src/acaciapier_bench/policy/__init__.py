"""Measures the request path's decisions against baselines, on a mock clock."""

from .run import PolicyOptions, run_policy
from .table import PolicyTable

__all__ = ["PolicyOptions", "PolicyTable", "run_policy"]
