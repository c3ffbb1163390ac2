"""How the calls end for which slots were granted, as instances report it."""

OUTCOME_DONE = "done"
OUTCOME_FAILED = "failed"
OUTCOME_UNREACHABLE = "unreachable"
OUTCOME_FULL = "full"
OUTCOME_CANCELLED = "cancelled"
