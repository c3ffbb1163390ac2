"""Settings of the policy, by which the baselines are chosen as well."""

from dataclasses import dataclass
from enum import Enum


class Choice(Enum):
    """How a target is chosen among those that may be used."""

    BLEND = "blend"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    LEAST_REPORTED = "least_reported"


class RetryRule(Enum):
    """How retries are limited."""

    BUDGET = "budget"
    NONE = "none"
    UNLIMITED = "unlimited"


@dataclass(frozen=True)
class PolicySettings:
    """Settings of `PathPolicy`.

    Parameters
    ----------
    choice : Choice
        How a target is chosen.
    retries : RetryRule
        How retries are limited.
    admission : bool
        Whether requests that cannot finish are refused at the door.
    hedges : bool
        Whether slow calls are hedged.
    health : bool
        Whether stragglers and failing targets are set aside and probed.
    quarantine : bool
        Whether requests that crash their targets are blocked.
    instance : str
        Name of this instance, which seeds its subset of each pool.
    instances : int
        Number of entry instances over which workspace rates are divided.
    subset_size : int
        Largest number of targets of one pool that this instance calls.
    report_lag_ms : float
        Age after which a load report has lost most of its weight.
    strike_expiry_ms : int
        Age after which a record of the quarantine is forgotten.
    strike_settle_ms : int
        Time that strikes need to reach all instances; suspects wait for it.
    """

    choice: Choice = Choice.BLEND
    retries: RetryRule = RetryRule.BUDGET
    admission: bool = True
    hedges: bool = True
    health: bool = True
    quarantine: bool = True
    instance: str = "entry-0"
    instances: int = 1
    subset_size: int = 64
    report_lag_ms: float = 1_000.0
    strike_expiry_ms: int = 3_600_000
    strike_settle_ms: int = 150
