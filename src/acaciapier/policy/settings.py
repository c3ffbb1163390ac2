"""Settings of the policy; they also select the baselines of benchmarks."""

from dataclasses import dataclass
from enum import Enum


class Choice(Enum):
    """How a target is chosen among the eligible ones."""

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
        Whether requests that cannot finish on time are refused on arrival.
    hedges : bool
        Whether slow calls are hedged.
    health : bool
        Whether slow and failing targets are ejected and probed.
    quarantine : bool
        Whether requests that crash their targets are isolated and blocked.
    instance : str
        Name of this instance; it determines its subset of each pool.
    instances : int
        Number of entry instances among which workspace rates are divided.
    subset_size : int
        Largest number of targets of one pool that this instance calls.
    report_lag_ms : float
        Time constant with which the weight of a load report decays.
    crash_record_expiry_ms : int
        Age after which a crash record is removed.
    crash_record_settle_ms : int
        Time that crash records need to reach all instances; suspects wait for it.
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
    crash_record_expiry_ms: int = 3_600_000
    crash_record_settle_ms: int = 150
