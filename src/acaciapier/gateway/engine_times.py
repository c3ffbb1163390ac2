"""Expected time of an engine to the first part of an answer, learned from answers.

Engines differ between deployments, and their speed is declared nowhere. Forecasts,
refusals and deadlines of stages depend on it, most of all in an overload.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

MAX_OBSERVATIONS = 300
"""Answers from which the times are learned: some seconds of a busy service."""

MIN_OBSERVATIONS = 40
"""Answers before which the defaults hold."""

REFIT_PERIOD = 20
"""Number of answers after which the times are learned again."""

MIN_TOKENS_DIFFERENCE = 200.0
"""Difference of two prompts from which their answers tell the time per token."""

MIN_PAIRS = 12
"""Pairs of such answers without which the time per token stays as it is."""

MS_PER_TOKEN_RANGE = (0.0005, 0.5)
"""Range of plausible prefill times: 2 to 2,000 tokens per ms."""

MIN_FIRST_PART_MS = 5.0
"""Least plausible time to the first part of an answer."""


@dataclass(frozen=True, slots=True)
class EngineEstimate:
    """Expected time to the first part of an answer, as a function of its prompt.

    Parameters
    ----------
    first_part_ms : float
        Time without prefill.
    ms_per_token : float
        Time to prefill a prompt token.
    """

    first_part_ms: float = 60.0
    ms_per_token: float = 0.011

    def expected_ms(self, tokens: float) -> float:
        """Return the expected time if `tokens` prompt tokens are prefilled."""
        return self.first_part_ms + self.ms_per_token * tokens


DEFAULT_ESTIMATE = EngineEstimate()
"""Estimate for a service of which no answers are known. It is that of a fast engine, so
that nothing is refused as hopeless before the real times are known."""


class EngineTimes:
    """Learns the times of the engines of one service.

    Slopes and residuals are combined by their medians, so that a minority of slow or
    overloaded workers does not change the estimate.
    """

    def __init__(self):
        self.estimate = DEFAULT_ESTIMATE
        self._observations: deque[tuple[float, float]] = deque(maxlen=MAX_OBSERVATIONS)
        self._count = 0

    @property
    def learned(self) -> bool:
        """Whether the estimate comes from answers."""
        return self._count >= MIN_OBSERVATIONS

    def observe(self, tokens: float, elapsed_ms: float) -> bool:
        """Record an answer; return whether the estimate was learned again.

        Parameters
        ----------
        tokens : float
            Prompt tokens that its engine prefilled before it began, its own included.
        elapsed_ms : float
            Time from the request to the first part of the answer.
        """
        self._observations.append((tokens, elapsed_ms))
        self._count += 1
        if self._count < MIN_OBSERVATIONS or self._count % REFIT_PERIOD:
            return False
        ordered = sorted(self._observations)
        slope = _median_slope(ordered)
        ms_per_token = self.estimate.ms_per_token if slope is None else slope
        rest_ms = median(elapsed - ms_per_token * known for known, elapsed in ordered)
        self.estimate = EngineEstimate(max(MIN_FIRST_PART_MS, rest_ms), ms_per_token)
        return True


def _median_slope(ordered: Sequence[tuple[float, float]]) -> float | None:
    """Return the median time per token between small and large prompts, or None.

    Each answer of the smaller half is compared with the one as far up in the larger
    half.
    """
    half = len(ordered) // 2
    slopes = [
        (large_ms - small_ms) / (large - small)
        for (small, small_ms), (large, large_ms) in zip(
            ordered[:half], ordered[-half:], strict=True
        )
        if large - small >= MIN_TOKENS_DIFFERENCE
    ]
    if len(slopes) < MIN_PAIRS:
        return None
    low, high = MS_PER_TOKEN_RANGE
    return min(max(median(slopes), low), high)
