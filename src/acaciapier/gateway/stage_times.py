"""Expected times of a route's stages, and the times by which results are wanted."""

from collections.abc import Callable
from dataclasses import dataclass

from .catalogue import Catalogue
from .models import RequestMetadata, RouteRule, ServiceName

FIRST_PART_MS = 120.0
"""Time from an engine's start to the first part of its answer, beside reading."""

READ_MS_PER_TOKEN = 0.011
"""Time in which an idle engine reads a prompt token."""

BATCH_SHARE = 0.6
"""Size of a usual call, as a share of the largest."""

TIME_WEIGHT = 0.05
"""Weight of the newest observation in a stage's time; about a second of requests."""

LARGE_RESULTS_BYTES = 1_000_000
"""From this size on, results are made as late as their reader allows."""

START_MARGIN = 1.6
"""A stage that is put off starts this multiple of its usual time before its results
are read: its time varies by half."""

MOST_WAITING = 1.6
"""Longest stage time that is planned with, as a multiple of the declared one; what
waits longer is late whatever is planned."""


@dataclass(frozen=True)
class StageWindow:
    """Times from now, in ms, by which a stage's results are wanted.

    Parameters
    ----------
    due_ms : float
        For an answer in time, if all further stages take as long as usual.
    latest_ms : float
        For an answer in time, if they take as little as they can.
    expires_ms : float
        For any answer.
    """

    due_ms: float
    latest_ms: float
    expires_ms: float


class StageTimes:
    """Expected times of the stages of a route, from the declared ones.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration.
    """

    def __init__(self, catalogue: Catalogue):
        self._catalogue = catalogue
        self._observed_ms: dict[ServiceName, float] = {}
        self._prompt_tokens: dict[str, float] = {}

    def observe(self, service: ServiceName, elapsed_ms: float) -> None:
        """Learn how long a stage took, its waiting included."""
        declared_ms = self._declared_ms(service)
        known_ms = self._observed_ms.get(service, declared_ms)
        taken_ms = min(max(elapsed_ms, self.least_ms(service)), 2 * declared_ms)
        self._observed_ms[service] = known_ms + TIME_WEIGHT * (taken_ms - known_ms)

    def engine_ms(self, terms: RequestMetadata) -> float:
        """Return the time to the first part of an answer, without waiting."""
        return FIRST_PART_MS + READ_MS_PER_TOKEN * terms.prompt_tokens

    def usual_engine_ms(self, route: RouteRule, terms: RequestMetadata) -> float:
        """Return the same for a usual request of a route, and learn from this one.

        Admission goes by it, so that large requests are not served less often.
        """
        tokens = terms.prompt_tokens
        known = self._prompt_tokens.get(route.name, tokens)
        known += TIME_WEIGHT * (tokens - known)
        self._prompt_tokens[route.name] = known
        return FIRST_PART_MS + READ_MS_PER_TOKEN * known

    def stage_ms(self, service: ServiceName) -> float:
        """Return the time that a stage usually takes, with its waiting."""
        declared_ms = self._declared_ms(service)
        observed_ms = self._observed_ms.get(service, declared_ms)
        return min(observed_ms, MOST_WAITING * declared_ms)

    def _declared_ms(self, service: ServiceName) -> float:
        configuration = self._catalogue.configuration
        rule = configuration.services.get(service) if configuration else None
        if rule is None or rule.batching is None:
            return 0.0
        return rule.batching.duration_ms(int(BATCH_SHARE * rule.batching.max_pieces))

    def least_ms(self, service: ServiceName) -> float:
        """Return the least time of a call."""
        configuration = self._catalogue.configuration
        rule = configuration.services.get(service) if configuration else None
        return rule.batching.call_ms if rule and rule.batching else 0.0

    def chain_ms(self, route: RouteRule, counts: tuple[int, ...], number: int) -> float:
        """Return how long the chain that ends with a stage takes by declared times."""
        stage = route.stages[number]
        before_ms = (
            self.chain_ms(route, counts, other)
            for other in stage.after
            if counts[other]
        )
        return max(before_ms, default=0.0) + self._declared_ms(stage.service)

    def start_delay_ms(
        self, route: RouteRule, counts: tuple[int, ...], number: int
    ) -> float:
        """Return how long the start of a stage is put off.

        Large results take their worker's room until the engine reads them, so
        they are made when the longest other chain of stages is nearly done.
        """
        if number not in route.final_stages:
            return 0.0
        stage = route.stages[number]
        if stage.result_bytes * counts[number] < LARGE_RESULTS_BYTES:
            return 0.0
        others_ms = (
            self.stage_ms(other.service) + longest_ms(route, counts, one, self.stage_ms)
            for one, other in enumerate(route.stages)
            if one != number and not other.after and counts[one]
        )
        own_ms = START_MARGIN * self.stage_ms(stage.service)
        return max(0.0, max(others_ms, default=0.0) - own_ms)

    def window(
        self,
        route: RouteRule,
        engine_ms: float,
        counts: tuple[int, ...],
        number: int,
        due_ms: float,
        expires_ms: float,
    ) -> StageWindow:
        """Return when a stage's results are wanted.

        `engine_ms` is the time of the engine after the stages; `due_ms` and
        `expires_ms` are the time until the first part of the answer is wanted, and
        until the answer is useless.
        """
        usual_ms = longest_ms(route, counts, number, self.stage_ms)
        least_ms = longest_ms(route, counts, number, self.least_ms)
        return StageWindow(
            due_ms - engine_ms - usual_ms,
            due_ms - engine_ms - least_ms,
            expires_ms - engine_ms - least_ms,
        )


def longest_ms(
    route: RouteRule,
    counts: tuple[int, ...],
    number: int,
    stage_ms: Callable[[ServiceName], float],
) -> float:
    """Return the time of the longest chain of stages behind a stage."""
    readers = [
        other
        for other, stage in enumerate(route.stages)
        if number in stage.after and counts[other]
    ]
    return max(
        (
            stage_ms(route.stages[one].service)
            + longest_ms(route, counts, one, stage_ms)
            for one in readers
        ),
        default=0.0,
    )
