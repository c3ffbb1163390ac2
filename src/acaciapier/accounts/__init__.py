"""Accounts of cost by workspace, pipeline and stage."""

from .ledger import Ledger
from .models import (
    AccountEntry,
    AccountReport,
    AttemptClass,
    CostEntry,
    CostKey,
    CostTotal,
    OutcomeClass,
)

__all__ = [
    "AccountEntry",
    "AccountReport",
    "AttemptClass",
    "CostEntry",
    "CostKey",
    "CostTotal",
    "Ledger",
    "OutcomeClass",
]
