"""OpenTelemetry metrics, exported in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import (
    CollectorRegistry,
    GCCollector,
    PlatformCollector,
    ProcessCollector,
    generate_latest,
)

DURATION_BUCKETS_MS = (1, 2, 5, 10, 20, 40, 60, 100, 200, 440, 1000, 2000, 3000, 10_000)


class Metrics:
    """The metrics of one process.

    Parameters
    ----------
    instance : str
        Id of the instance; becomes the resource attribute ``service.instance.id``.

    Examples
    --------
    >>> metrics = Metrics("entry-1")  # doctest: +SKIP
    >>> metrics.request_ended("hotels", "repeatable", "done", 812.0)
    """

    def __init__(self, instance: str):
        # Several instances run in one process of the tests. In the registry of the
        # process each would export the metrics of all that ever ran there.
        self._registry = CollectorRegistry()
        for collector in (ProcessCollector, PlatformCollector, GCCollector):
            collector(registry=self._registry)
        reader = PrometheusMetricReader(registry=self._registry)
        buckets = ExplicitBucketHistogramAggregation(DURATION_BUCKETS_MS)
        self._provider = MeterProvider(
            resource=Resource.create({"service.instance.id": instance}),
            metric_readers=[reader],
            views=[View(instrument_name="*_duration", aggregation=buckets)],
        )
        meter = self._provider.get_meter("acaciapier")
        self._meter = meter
        self._requests = meter.create_counter("acaciapier_requests")
        self._request_duration = meter.create_histogram(
            "acaciapier_request_duration", "ms"
        )
        self._first_token_duration = meter.create_histogram(
            "acaciapier_first_token_duration", "ms"
        )
        self._token_gap_duration = meter.create_histogram(
            "acaciapier_token_gap_duration", "ms"
        )
        self._stage_duration = meter.create_histogram("acaciapier_stage_duration", "ms")
        self._stage_calls = meter.create_counter("acaciapier_stage_calls")
        self._stage_units = meter.create_counter("acaciapier_stage_units")
        self._stage_service_ms = meter.create_counter("acaciapier_stage_service_ms")
        self._refusals = meter.create_counter("acaciapier_refusals")
        self._open_requests = meter.create_up_down_counter("acaciapier_open_requests")
        self._gateway_requests = meter.create_counter("acaciapier_gateway_requests")
        self._gateway_duration = meter.create_histogram(
            "acaciapier_gateway_duration", "ms"
        )
        self._gateway_store_calls = meter.create_counter(
            "acaciapier_gateway_store_calls"
        )
        self._worker_tunnels = meter.create_counter("acaciapier_worker_tunnels")
        self._caller_connections_closed = meter.create_counter(
            "acaciapier_caller_connections_closed"
        )
        self._gateway_decisions = meter.create_counter("acaciapier_gateway_decisions")
        self._internal_errors = meter.create_counter("acaciapier_internal_errors")
        self._loop_lag = meter.create_histogram("acaciapier_loop_lag_duration", "ms")

    def request_opened(self) -> None:
        """Count a started request as open."""
        self._open_requests.add(1)

    def request_ended(
        self, workspace: str, request_class: str, outcome: str, elapsed_ms: float
    ) -> None:
        """Count an ended request and record its end-to-end duration."""
        attributes = {"workspace": workspace, "class": request_class}
        self._open_requests.add(-1)
        self._requests.add(1, {**attributes, "outcome": outcome})
        self._request_duration.record(elapsed_ms, attributes)

    def first_token(
        self, workspace: str, request_class: str, elapsed_ms: float
    ) -> None:
        """Record the time from a request to the first part of its answer."""
        attributes = {"workspace": workspace, "class": request_class}
        self._first_token_duration.record(elapsed_ms, attributes)

    def token_gap(self, workspace: str, elapsed_ms: float) -> None:
        """Record the time between two consecutive parts of an answer."""
        self._token_gap_duration.record(elapsed_ms, {"workspace": workspace})

    def stage_ended(self, workspace: str, stage: str, elapsed_ms: float) -> None:
        """Record the duration of a stage."""
        attributes = {"workspace": workspace, "stage": stage}
        self._stage_duration.record(elapsed_ms, attributes)

    def stage_cost(
        self,
        workspace: str,
        stage_kind: str,
        attempt_class: str,
        outcome_class: str,
        service_ms: float,
        units: dict[str, float],
    ) -> None:
        """Count one attempt of a stage, with its service time and consumed units."""
        attributes = {
            "workspace": workspace,
            "stage_kind": stage_kind,
            "attempt_class": attempt_class,
            "outcome_class": outcome_class,
        }
        self._stage_calls.add(1, attributes)
        self._stage_service_ms.add(max(0.0, service_ms), attributes)
        for unit, amount in units.items():
            self._stage_units.add(max(0.0, amount), {**attributes, "unit": unit})

    def refused(self, workspace: str, cause: str) -> None:
        """Count a refused request by its cause."""
        self._refusals.add(1, {"workspace": workspace, "cause": cause})

    def gateway_request(self, route: str, outcome: str, elapsed_ms: float) -> None:
        """Count a gateway request by route and outcome, and record its duration."""
        attributes = {"route": route, "outcome": outcome}
        self._gateway_requests.add(1, attributes)
        self._gateway_duration.record(elapsed_ms, attributes)

    def gateway_decision(self, kind: str) -> None:
        """Count a decision of the gateway about a request, by its kind."""
        self._gateway_decisions.add(1, {"kind": kind})

    def caller_connection_closed(self, reason: str) -> None:
        """Count a caller's connection that was closed with input, by the reason."""
        self._caller_connections_closed.add(1, {"reason": reason})

    def internal_error(self, place: str) -> None:
        """Count an unexpected exception by the module and line that raised it."""
        self._internal_errors.add(1, {"place": place})

    def loop_lag(self, lag_ms: float) -> None:
        """Record by how much the timers of the process fired late."""
        self._loop_lag.record(lag_ms)

    def worker_tunnel(self, kind: str) -> None:
        """Count a tunnel that was opened, served or refused, by its kind."""
        self._worker_tunnels.add(1, {"kind": kind})

    def gateway_store(self, verb: str) -> None:
        """Count a call from the gateway to the platform's store, by its verb."""
        self._gateway_store_calls.add(1, {"verb": verb})

    def watch_store(self, counts: Callable[[], dict[Any, Any]]) -> None:
        """Export the number of calls to the object API, by purpose and verb.

        Parameters
        ----------
        counts : callable
            Returns a `CallCount` for each pair of purpose and verb, such as
            `ObjectStore.counts`.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for (purpose, verb), count in counts().items():
                attributes = {"purpose": purpose.value, "verb": verb.value}
                yield Observation(count.calls, attributes)

        self._meter.create_observable_counter("acaciapier_store_calls", [observe])

    def watch_worker_limits(
        self, limits: Callable[[], Iterable[tuple[str, str, float]]]
    ) -> None:
        """Export the limits that workers have named, in requests a second.

        Parameters
        ----------
        limits : callable
            Returns service, worker and limit of each limited worker.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for service, worker, per_s in limits():
                yield Observation(per_s, {"service": service, "worker": worker})

        self._meter.create_observable_gauge("acaciapier_worker_limit", [observe])

    def watch_cold_workers(self, counts: Callable[[], Mapping[str, int]]) -> None:
        """Export how many workers of each service are cold.

        Parameters
        ----------
        counts : callable
            Returns the number of cold workers by service.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for service, count in counts().items():
                yield Observation(count, {"service": service})

        self._meter.create_observable_gauge("acaciapier_cold_workers", [observe])

    def watch_dispatchers(self, held: Callable[[], Mapping[str, str]]) -> None:
        """Export which instance this one holds for the dispatcher of each service.

        Parameters
        ----------
        held : callable
            Returns the dispatcher by service.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for service, dispatcher in held().items():
                yield Observation(1, {"service": service, "dispatcher": dispatcher})

        self._meter.create_observable_gauge("acaciapier_dispatcher", [observe])

    def watch_response_memory(self, used_bytes: Callable[[], int]) -> None:
        """Export the bytes that large responses in progress have reserved.

        Parameters
        ----------
        used_bytes : callable
            Returns the number of bytes.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            yield Observation(used_bytes(), {})

        self._meter.create_observable_gauge(
            "acaciapier_response_memory_bytes", [observe]
        )

    def watch_input_memory(self, used_bytes: Callable[[], int]) -> None:
        """Export the memory of the input that is held for callers.

        Parameters
        ----------
        used_bytes : callable
            Returns the number of bytes.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            yield Observation(used_bytes(), {})

        self._meter.create_observable_gauge("acaciapier_input_memory_bytes", [observe])

    def watch_builds(self, counts: Callable[[], Mapping[str, int]]) -> None:
        """Export how many instances that are up run each build.

        Parameters
        ----------
        counts : callable
            Returns the number of instances by build.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for build, count in counts().items():
                yield Observation(count, {"build": build})

        self._meter.create_observable_gauge("acaciapier_instances", [observe])

    def watch_reserved(self, counts: Callable[[], Mapping[str, int]]) -> None:
        """Export what is reserved here for requests, and what waits here.

        Parameters
        ----------
        counts : callable
            Returns the number by kind; all are 0 soon after the last request.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for kind, count in counts().items():
                yield Observation(count, {"kind": kind})

        self._meter.create_observable_gauge("acaciapier_reserved", [observe])

    def watch_evacuations(self, data_centres: Callable[[], Iterable[str]]) -> None:
        """Export the evacuated data centres.

        Parameters
        ----------
        data_centres : callable
            Returns their names.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for data_centre in data_centres():
                yield Observation(1, {"data_centre": data_centre})

        self._meter.create_observable_gauge(
            "acaciapier_evacuated_data_centre", [observe]
        )

    def watch_brittle_workers(
        self, workers: Callable[[], Iterable[tuple[str, str, int]]]
    ) -> None:
        """Export the rejections a second that brittle workers survive.

        Parameters
        ----------
        workers : callable
            Returns service, worker and rejections of each brittle worker.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for service, worker, rejections in workers():
                yield Observation(rejections, {"service": service, "worker": worker})

        self._meter.create_observable_gauge("acaciapier_worker_brittle", [observe])

    def watch_slowdowns(
        self, workers: Callable[[], Iterable[tuple[str, str, float]]]
    ) -> None:
        """Export the slowdowns that workers report.

        Parameters
        ----------
        workers : callable
            Returns service, worker and average slowdown of each that reports one.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for service, worker, slowdown in workers():
                yield Observation(slowdown, {"service": service, "worker": worker})

        self._meter.create_observable_gauge("acaciapier_worker_slowdown", [observe])

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Stop the collection of metrics."""
        self._provider.shutdown()
