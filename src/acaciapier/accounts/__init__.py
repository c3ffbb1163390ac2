"""Cost accounting by workspace, pipeline and stage."""

from ..wire.messages.accounts import AccountEntry, AccountReport, CostKey, CostTotal
from .costs import CostTable, read_costs
from .ledger import Ledger
from .models import AttemptClass, CostEntry, OutcomeClass
from .pages import AccountPage, merge_reports
from .service import AccountService

__all__ = [
    "AccountEntry",
    "AccountPage",
    "AccountReport",
    "AccountService",
    "AttemptClass",
    "CostEntry",
    "CostKey",
    "CostTable",
    "CostTotal",
    "Ledger",
    "OutcomeClass",
    "merge_reports",
    "read_costs",
]
