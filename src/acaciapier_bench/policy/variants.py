"""The policy and the baselines that it is measured against."""

from acaciapier.policy import Choice, PolicySettings, RetryRule

OURS = "ours"

VARIANTS = {
    OURS: {},
    "random": {"choice": Choice.RANDOM, "health": False},
    "round-robin": {"choice": Choice.ROUND_ROBIN, "health": False},
    "least-outstanding": {"choice": Choice.LEAST_OUTSTANDING, "health": False},
    "least-reported": {"choice": Choice.LEAST_REPORTED, "health": False},
    "no-retries": {"retries": RetryRule.NONE},
    "unlimited-retries": {"retries": RetryRule.UNLIMITED},
    "no-admission": {"admission": False},
    "no-hedges": {"hedges": False},
    "unguarded": {
        "choice": Choice.RANDOM,
        "health": False,
        "retries": RetryRule.UNLIMITED,
        "admission": False,
        "hedges": False,
        "quarantine": False,
    },
}


def make_settings(variant: str, entry: int, entries: int) -> PolicySettings:
    """Return the settings of one entry instance under a variant."""
    return PolicySettings(
        instance=f"entry-{entry}", instances=entries, **VARIANTS[variant]
    )
