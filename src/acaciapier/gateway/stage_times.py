"""Expected times of a route's stages, and the deadlines of their results."""

from collections.abc import Callable, Iterable
from copy import copy
from dataclasses import dataclass

from .catalogue import Catalogue
from .dispatch.stage_capacity import MAX_REQUEST_PIECES, most_pieces
from .engine_times import DEFAULT_ESTIMATE, EngineEstimate
from .models import RequestMetadata, RouteRule, ServiceName

HANDOVER_MS = 60.0
"""Time between the last stage result and the request's start at an engine: a message to
the dispatcher and back, the wait for a slot, and the transfer of the results."""

AVERAGE_BATCH_SHARE = 0.6
"""Size of an average call, as a share of the largest."""

TIME_EWMA_WEIGHT = 0.05
"""Weight of the newest observation in a stage's average time; the average follows about
the last second of requests."""

LARGE_RESULTS_BYTES = 1_000_000
"""Size from which the start of a stage is delayed, so that its results occupy memory
for a shorter time."""

START_MARGIN_FACTOR = 1.6
"""A delayed stage starts this multiple of its average time before its results are
needed, because its time varies by half."""

MAX_STAGE_TIME_FACTOR = 1.6
"""Maximum average stage time used to compute deadlines, as a multiple of the declared
one; work that waits longer is late in any case."""


@dataclass(frozen=True)
class StageWindow:
    """Deadlines of a stage's results, in ms from now.

    Parameters
    ----------
    due_ms : float
        For an answer that is on time, if all later stages take their average time.
    latest_ms : float
        For an answer that is on time, if all later stages take their minimum time.
    expires_ms : float
        For an answer that is still of use, if all later stages take their minimum time.
    """

    due_ms: float
    latest_ms: float
    expires_ms: float


class StageTimes:
    """Expected times of the stages of a route, based on the declared ones.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration.
    engine_estimate : callable, optional
        Returns what is known of the engines of a service.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        engine_estimate: Callable[[ServiceName], EngineEstimate] = (
            lambda service: DEFAULT_ESTIMATE
        ),
    ):
        self._catalogue = catalogue
        self._engine_estimate = engine_estimate
        self._average_ms: dict[ServiceName, float] = {}
        self._average_prompt_tokens: dict[str, float] = {}

    def view(
        self, engine_estimate: Callable[[ServiceName], EngineEstimate]
    ) -> "StageTimes":
        """Return the same times with another source of engine times, for reading."""
        view = copy(self)
        view._engine_estimate = engine_estimate
        return view

    def observe(self, service: ServiceName, elapsed_ms: float) -> None:
        """Update a stage's average time, which includes its waiting time."""
        declared_ms = self._declared_ms(service)
        average_ms = self._average_ms.get(service, declared_ms)
        clamped_ms = min(max(elapsed_ms, self.min_ms(service)), 2 * declared_ms)
        self._average_ms[service] = average_ms + TIME_EWMA_WEIGHT * (
            clamped_ms - average_ms
        )

    def engine_ms(self, service: ServiceName, metadata: RequestMetadata) -> float:
        """Return the time to the first part of an answer, without waiting."""
        estimate = self._engine_estimate(service)
        return HANDOVER_MS + estimate.expected_ms(metadata.prompt_tokens)

    def average_engine_ms(
        self, service: ServiceName, route: RouteRule, metadata: RequestMetadata
    ) -> float:
        """Update and return the average engine time of a route's requests.

        Admission uses the average instead of the time of the request itself, which
        would admit large requests less often.
        """
        tokens = metadata.prompt_tokens
        average_tokens = self._average_prompt_tokens.get(route.name, tokens)
        average_tokens += TIME_EWMA_WEIGHT * (tokens - average_tokens)
        self._average_prompt_tokens[route.name] = average_tokens
        return HANDOVER_MS + self._engine_estimate(service).expected_ms(average_tokens)

    def stage_ms(self, service: ServiceName) -> float:
        """Return the average time of a stage, including its waiting time."""
        declared_ms = self._declared_ms(service)
        average_ms = self._average_ms.get(service, declared_ms)
        return min(average_ms, MAX_STAGE_TIME_FACTOR * declared_ms)

    def _declared_ms(self, service: ServiceName) -> float:
        configuration = self._catalogue.configuration
        rule = configuration.services.get(service) if configuration else None
        if rule is None or rule.batching is None:
            return 0.0
        return rule.batching.duration_ms(
            int(AVERAGE_BATCH_SHARE * rule.batching.max_pieces)
        )

    def min_ms(self, service: ServiceName) -> float:
        """Return the minimum time of a call."""
        configuration = self._catalogue.configuration
        rule = configuration.services.get(service) if configuration else None
        return rule.batching.call_ms if rule and rule.batching else 0.0

    def allows_pieces(
        self, route: RouteRule, counts: tuple[int, ...], within_ms: float
    ) -> bool:
        """Return whether workers could complete so many pieces of each stage in a time.

        The number of pieces in all stages together is limited as well.
        """
        counts = counts[: len(route.stages)]
        return sum(counts) <= MAX_REQUEST_PIECES and all(
            count <= self._most_pieces(stage.service, within_ms)
            for stage, count in zip(route.stages, counts, strict=True)
        )

    def _most_pieces(self, service: ServiceName, within_ms: float) -> int:
        configuration = self._catalogue.configuration
        rule = configuration.services.get(service) if configuration else None
        if rule is None or rule.batching is None:
            return MAX_REQUEST_PIECES
        workers = len(self._catalogue.workers_of(service))
        return most_pieces(rule.batching, workers, within_ms)

    def chain_ms(self, route: RouteRule, counts: tuple[int, ...], number: int) -> float:
        """Return the declared time of the longest chain that ends with stage `number`.

        `counts` are the numbers of pieces of the route's stages; stages without pieces
        are skipped.
        """

        def declared_ms(of: int) -> float:
            return self._declared_ms(route.stages[of].service)

        def needed(of: int) -> list[int]:
            return [other for other in route.stages[of].after if counts[other]]

        return _longest_ms(number, needed, declared_ms) + declared_ms(number)

    def start_delay_ms(
        self, route: RouteRule, counts: tuple[int, ...], number: int
    ) -> float:
        """Return how long the start of a stage is delayed.

        Large results occupy their worker's memory until the engine reads them, so they
        are produced when the longest other chain of stages is nearly done.
        """
        if number not in route.final_stages:
            return 0.0
        stage = route.stages[number]
        if stage.result_bytes * counts[number] < LARGE_RESULTS_BYTES:
            return 0.0
        other_chains_ms = (
            self.stage_ms(other.service)
            + longest_chain_ms(route, counts, other_number, self.stage_ms)
            for other_number, other in enumerate(route.stages)
            if other_number != number and not other.after and counts[other_number]
        )
        own_ms = START_MARGIN_FACTOR * self.stage_ms(stage.service)
        return max(0.0, max(other_chains_ms, default=0.0) - own_ms)

    def window(
        self,
        route: RouteRule,
        engine_ms: float,
        counts: tuple[int, ...],
        number: int,
        due_ms: float,
        expires_ms: float,
    ) -> StageWindow:
        """Return the deadlines of a stage's results.

        `engine_ms` is the time of the engine after the stages; `due_ms` and
        `expires_ms` are the time until the first part of the answer is due, and until
        the answer is useless.
        """
        average_ms = longest_chain_ms(route, counts, number, self.stage_ms)
        min_ms = longest_chain_ms(route, counts, number, self.min_ms)
        return StageWindow(
            due_ms - engine_ms - average_ms,
            due_ms - engine_ms - min_ms,
            expires_ms - engine_ms - min_ms,
        )


def longest_chain_ms(
    route: RouteRule,
    counts: tuple[int, ...],
    number: int,
    stage_ms: Callable[[ServiceName], float],
) -> float:
    """Return the time of the longest chain of stages that depends on a stage."""

    def dependents(of: int) -> list[int]:
        return [
            other
            for other, stage in enumerate(route.stages)
            if of in stage.after and counts[other]
        ]

    return _longest_ms(
        number, dependents, lambda other: stage_ms(route.stages[other].service)
    )


def _longest_ms(
    number: int,
    following: Callable[[int], Iterable[int]],
    stage_ms: Callable[[int], float],
) -> float:
    """Return the time of the longest chain that follows a stage.

    Each stage is looked at once, though it may be part of very many chains.
    """
    known: dict[int, float] = {}

    def longest_ms(of: int) -> float:
        if of not in known:
            known[of] = 0.0
            times_ms = (stage_ms(other) + longest_ms(other) for other in following(of))
            known[of] = max(times_ms, default=0.0)
        return known[of]

    return longest_ms(number)
