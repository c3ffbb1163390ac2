"""Accounts of cost by workspace, pipeline and stage."""

from .models import AttemptClass, CostClass, CostEntry

__all__ = ["AttemptClass", "CostClass", "CostEntry"]
