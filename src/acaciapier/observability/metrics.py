"""OpenTelemetry metrics, read over HTTP in the Prometheus format."""

from collections.abc import Callable, Iterable
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 40, 60, 100, 200, 440, 1000, 2000, 3000, 10_000)


class Metrics:
    """All instruments of one process.

    Parameters
    ----------
    instance : str
        Id of the instance, set on the resource.

    Examples
    --------
    >>> metrics = Metrics("entry-1")  # doctest: +SKIP
    >>> metrics.request_ended("hotels", "repeatable", "done", 812.0)
    """

    def __init__(self, instance: str):
        reader = PrometheusMetricReader()
        buckets = ExplicitBucketHistogramAggregation(LATENCY_BOUNDS_MS)
        self._provider = MeterProvider(
            resource=Resource.create({"service.instance.id": instance}),
            metric_readers=[reader],
            views=[View(instrument_name="*_duration", aggregation=buckets)],
        )
        meter = self._provider.get_meter("acaciapier")
        self._meter = meter
        self._requests = meter.create_counter("acaciapier_requests")
        self._total = meter.create_histogram("acaciapier_request_duration", "ms")
        self._first = meter.create_histogram("acaciapier_first_token_duration", "ms")
        self._gap = meter.create_histogram("acaciapier_token_gap_duration", "ms")
        self._stage = meter.create_histogram("acaciapier_stage_duration", "ms")
        self._calls = meter.create_counter("acaciapier_stage_calls")
        self._units = meter.create_counter("acaciapier_stage_units")
        self._service = meter.create_counter("acaciapier_stage_service_ms")
        self._refusals = meter.create_counter("acaciapier_refusals")
        self._open = meter.create_up_down_counter("acaciapier_open_requests")
        self._answers = meter.create_counter("acaciapier_gateway_requests")
        self._answer_time = meter.create_histogram("acaciapier_gateway_duration", "ms")
        self._store_calls = meter.create_counter("acaciapier_gateway_store_calls")
        self._decisions = meter.create_counter("acaciapier_gateway_decisions")

    def request_opened(self) -> None:
        """Count a request that starts."""
        self._open.add(1)

    def request_ended(
        self, workspace: str, request_class: str, outcome: str, elapsed_ms: float
    ) -> None:
        """Count a request that has ended, and its time from end to end."""
        attributes = {"workspace": workspace, "class": request_class}
        self._open.add(-1)
        self._requests.add(1, {**attributes, "outcome": outcome})
        self._total.record(elapsed_ms, attributes)

    def first_token(
        self, workspace: str, request_class: str, elapsed_ms: float
    ) -> None:
        """Record the time to the first part of an answer."""
        attributes = {"workspace": workspace, "class": request_class}
        self._first.record(elapsed_ms, attributes)

    def token_gap(self, workspace: str, elapsed_ms: float) -> None:
        """Record the time between two parts of an answer."""
        self._gap.record(elapsed_ms, {"workspace": workspace})

    def stage_ended(self, workspace: str, stage: str, elapsed_ms: float) -> None:
        """Record the time of a stage."""
        attributes = {"workspace": workspace, "stage": stage}
        self._stage.record(elapsed_ms, attributes)

    def stage_cost(
        self,
        workspace: str,
        stage_kind: str,
        attempt_class: str,
        outcome_class: str,
        service_ms: float,
        units: dict[str, float],
    ) -> None:
        """Count what one attempt at a stage has consumed."""
        attributes = {
            "workspace": workspace,
            "stage_kind": stage_kind,
            "attempt_class": attempt_class,
            "outcome_class": outcome_class,
        }
        self._calls.add(1, attributes)
        self._service.add(max(0.0, service_ms), attributes)
        for unit, amount in units.items():
            self._units.add(max(0.0, amount), {**attributes, "unit": unit})

    def refused(self, workspace: str, cause: str) -> None:
        """Count a refusal by its cause."""
        self._refusals.add(1, {"workspace": workspace, "cause": cause})

    def gateway_request(self, route: str, outcome: str, elapsed_ms: float) -> None:
        """Count a request of the gateway by its route and outcome."""
        attributes = {"route": route, "outcome": outcome}
        self._answers.add(1, attributes)
        self._answer_time.record(elapsed_ms, attributes)

    def gateway_decision(self, kind: str) -> None:
        """Count a decision of the gateway about a request."""
        self._decisions.add(1, {"kind": kind})

    def gateway_store(self, verb: str) -> None:
        """Count a call of the platform's store by the gateway."""
        self._store_calls.add(1, {"verb": verb})

    def watch_store(self, counts: Callable[[], dict[Any, Any]]) -> None:
        """Expose the calls of the object API by purpose and verb.

        Parameters
        ----------
        counts : callable
            Returns the `CallCount` of each purpose and verb, such as
            `ObjectStore.counts`.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for (purpose, verb), count in counts().items():
                attributes = {"purpose": purpose.value, "verb": verb.value}
                yield Observation(count.calls, attributes)

        self._meter.create_observable_counter("acaciapier_store_calls", [observe])

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()
