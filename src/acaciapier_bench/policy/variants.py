"""The policy and the baselines that it is measured against."""

from dataclasses import dataclass, field
from typing import Any

from acaciapier.policy import Choice, PolicySettings, RetryRule

OURS = "ours"


@dataclass(frozen=True)
class Variant:
    """Settings of the policy, and what the entries tell it and each other.

    Parameters
    ----------
    settings : dict
        Fields of `PolicySettings` that differ from the default.
    full_reports : bool
        Whether the policy hears when the first part of a stream arrives, and
        how long targets worked.
    share_loads : bool
        Whether the entries tell each other the loads that targets reported.
    """

    settings: dict[str, Any] = field(default_factory=dict)
    full_reports: bool = True
    share_loads: bool = False


def _routed_by(choice: Choice) -> Variant:
    return Variant({"choice": choice, "health": False})


VARIANTS = {
    OURS: Variant(),
    "shared-loads": Variant(share_loads=True),
    "plain-reports": Variant(full_reports=False),
    "random": _routed_by(Choice.RANDOM),
    "round-robin": _routed_by(Choice.ROUND_ROBIN),
    "least-outstanding": _routed_by(Choice.LEAST_OUTSTANDING),
    "least-reported": _routed_by(Choice.LEAST_REPORTED),
    "least-reported-shared": Variant(
        {"choice": Choice.LEAST_REPORTED, "health": False}, share_loads=True
    ),
    "no-retries": Variant({"retries": RetryRule.NONE}),
    "unlimited-retries": Variant({"retries": RetryRule.UNLIMITED}),
    "no-admission": Variant({"admission": False}),
    "no-hedges": Variant({"hedges": False}),
    "unguarded": Variant(
        {
            "choice": Choice.RANDOM,
            "health": False,
            "retries": RetryRule.UNLIMITED,
            "admission": False,
            "hedges": False,
            "quarantine": False,
        },
        full_reports=False,
    ),
}


def make_settings(variant: str, entry: int, entries: int) -> PolicySettings:
    """Return the settings of one entry instance under a variant."""
    return PolicySettings(
        instance=f"entry-{entry}",
        instances=entries,
        **VARIANTS[variant].settings,
    )
