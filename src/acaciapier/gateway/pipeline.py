"""Runs the stages of one request in the order of their dependencies.

Each stage starts when its inputs are ready. An intermediate result is freed once every
stage that reads it has finished, a final result once the engine has read it.
"""

from collections.abc import Callable

import trio

from ..core.clock import Clock, to_s
from ..core.ids import Fingerprint
from ..wire.messages.gateway import EnterStages, RunPieces
from .dispatch.dispatch_client import DispatchClient
from .dispatch.refusal import (
    MIN_RETRY_MS,
    NO_WORKER_RETRY_MS,
    TOO_MANY_PIECES,
    Refused,
)
from .models import RequestMetadata, RouteRule, ServiceName
from .stage_times import StageTimes, StageWindow, longest_chain_ms


class StageRun:
    """Runs the stages of one request.

    Parameters
    ----------
    dispatch_client : DispatchClient
        Client of the dispatchers, which run the pieces.
    times : StageTimes
        Expected durations of stages.
    clock : Clock
        Source of time.
    route : RouteRule
        Route that defines the stages.
    service : ServiceName
        Service that runs the request after its stages.
    metadata : RequestMetadata
        Metadata of the request.
    due_s, expires_s : float
        Time by which the first part of the response is due, and time after which the
        response is useless.
    priority : int
        Priority of the request, 0 being the highest.
    value : float
        Relative value of a response that meets its objective.
    data_centre : str
        Preferred data centre of the final results.
    locate : callable
        Returns the data centre in which a result is stored.
    fingerprint : Fingerprint
        Hash of the request's content and caller.
    """

    def __init__(
        self,
        dispatch_client: DispatchClient,
        times: StageTimes,
        clock: Clock,
        route: RouteRule,
        service: ServiceName,
        metadata: RequestMetadata,
        due_s: float,
        expires_s: float,
        priority: int,
        value: float,
        data_centre: str,
        locate: Callable[[str], str],
        fingerprint: Fingerprint,
        workspace: str = "",
        allowed_regions: tuple[str, ...] = (),
    ):
        self._workspace = workspace
        self._allowed_regions = allowed_regions
        self.refused: Refused | None = None
        self.admission_ms = 0.0
        """Time that the request waited for admission before its stages."""
        self._dispatch_client = dispatch_client
        self._times = times
        self._clock = clock
        self._route = route
        self._service = service
        self._metadata = metadata
        self._due_s = due_s
        self._expires_s = expires_s
        self._priority = priority
        self._value = value
        self._data_centre = data_centre
        self._locate = locate
        self._fingerprint = fingerprint
        self._counts = piece_counts(route, metadata)
        self._handles: dict[int, tuple[str, ...]] = {}
        self._requested: set[int] = set()
        self._done = {n: trio.Event() for n in range(len(route.stages))}

    @property
    def has_inputs(self) -> bool:
        """Whether the final results are there, and were not released."""
        return all(number in self._handles for number in self._route.final_stages)

    @property
    def inputs(self) -> tuple[str, ...]:
        """Handles of all final results in stage order: the inputs of the engine."""
        return tuple(h for n in self._route.final_stages for h in self._handles[n])

    def final_results(self) -> list[tuple[str, int]]:
        """Return the handles of all final results with their sizes in bytes."""
        return [
            (handle, self._route.stages[number].result_bytes)
            for number in self._route.final_stages
            for handle in self._handles.get(number, ())
        ]

    def forecast_ms(self) -> float:
        """Return the least time to the first part of the response, queueing included.

        Adds the queueing times that the dispatchers report to the shortest durations of
        the stages. The engine has a queue only if all its workers have named limits.
        """

        def stage_ms(service: ServiceName) -> float:
            wait_ms = self._dispatch_client.wait_ms(service, self._priority)
            return self._times.min_ms(service) + wait_ms

        first_stages = [
            number
            for number, stage in enumerate(self._route.stages)
            if not stage.after and self._counts[number]
        ]
        chains_ms = (
            stage_ms(self._route.stages[number].service)
            + longest_chain_ms(self._route, self._counts, number, stage_ms)
            for number in first_stages
        )
        engine_wait_ms = self._dispatch_client.wait_ms(self._service, self._priority)
        return max([engine_wait_ms, *chains_ms]) + self._engine_ms()

    async def run(self) -> None:
        """Run all stages.

        Raises
        ------
        Refused
            If a stage cannot finish in time.
        """
        left_ms = (self._expires_s - self._clock.monotonic_s()) * 1_000.0
        # Dispatchers of earlier builds plan any number of pieces.
        if not self._times.allows_pieces(self._route, self._counts, left_ms):
            raise Refused(TOO_MANY_PIECES, NO_WORKER_RETRY_MS)
        forecast_ms = self.forecast_ms()
        if forecast_ms > left_ms:
            raise Refused("overload", MIN_RETRY_MS + forecast_ms - left_ms)
        await self._wait_for_admission()
        async with trio.open_nursery() as nursery:
            for number in range(len(self._route.stages)):
                nursery.start_soon(self._run_stage, number, nursery)
        if self.refused is not None:
            raise self.refused

    async def _wait_for_admission(self) -> None:
        """Wait until the longest chain of stages is admitted.

        Requests without dependent stages skip admission and wait only in the queues of
        their stages.
        """
        now_s = self._clock.monotonic_s()
        message = make_admission_message(
            self._route,
            self._service,
            self._metadata,
            self._times,
            due_ms=(self._due_s - now_s) * 1_000.0,
            expires_ms=(self._expires_s - now_s) * 1_000.0,
            priority=self._priority,
            fingerprint=self._fingerprint,
            workspace=self._workspace,
            allowed_regions=self._allowed_regions,
        )
        if message is None:
            return
        number = message.stage
        self._requested.add(number)
        try:
            await self._dispatch_client.enter_stages(message)
        except Refused:
            self._requested.discard(number)
            raise
        finally:
            self.admission_ms = (self._clock.monotonic_s() - now_s) * 1_000.0

    def release(self) -> None:
        """Cancel outstanding pieces and free all results; idempotent."""
        for number in sorted(self._requested):
            service = self._route.stages[number].service
            handles = self._handles.pop(number, None)
            if handles is None:
                self._dispatch_client.cancel_work(service, self._metadata.attempt)
            else:
                self._dispatch_client.release_results(service, handles)
        self._requested.clear()

    async def _run_stage(self, number: int, nursery: trio.Nursery) -> None:
        stage = self._route.stages[number]
        for other in stage.after:
            await self._done[other].wait()
        if self._counts[number] == 0:
            self._handles[number] = ()
            self._done[number].set()
            return
        if not stage.after:
            delay_ms = self._times.start_delay_ms(self._route, self._counts, number)
            await trio.sleep(to_s(delay_ms))
        now_s = self._clock.monotonic_s()
        window = self._window(number, now_s, self._engine_ms())
        inputs = tuple(h for other in stage.after for h in self._handles[other])
        data_centre, transfer_bytes = self._preferred_data_centre(number)
        message = RunPieces(
            service=stage.service,
            attempt=self._metadata.attempt,
            stage=number,
            count=self._counts[number],
            key=self._metadata.piece_key,
            inputs=inputs,
            result_bytes=stage.result_bytes,
            due_ms=window.due_ms,
            latest_ms=window.latest_ms,
            expires_ms=window.expires_ms,
            priority=self._priority,
            value=self._value,
            data_centre=data_centre,
            transfer_bytes=transfer_bytes,
            workspace=self._workspace,
            allowed_regions=self._allowed_regions,
        )
        self._requested.add(number)
        try:
            self._handles[number] = await self._dispatch_client.run_pieces(message)
        except Refused as refused:
            self.refused = refused
            nursery.cancel_scope.cancel()
            return
        elapsed_ms = (self._clock.monotonic_s() - now_s) * 1_000.0
        self._times.observe(stage.service, elapsed_ms)
        self._done[number].set()
        self._free_consumed_results()

    def _engine_ms(self) -> float:
        return self._times.engine_ms(self._service, self._metadata)

    def _window(self, number: int, now_s: float, engine_ms: float) -> StageWindow:
        return self._times.window(
            self._route,
            engine_ms,
            self._counts,
            number,
            (self._due_s - now_s) * 1_000.0,
            (self._expires_s - now_s) * 1_000.0,
        )

    def _preferred_data_centre(self, number: int) -> tuple[str, int]:
        """Return the data centre with the least transfer, and the bytes that it saves.

        Each piece of a stage reads all inputs of the stage; the engine reads the final
        results.
        """
        stage = self._route.stages[number]
        sizes: dict[str, int] = {}
        for other in stage.after:
            size = self._route.stages[other].result_bytes * self._counts[number]
            for handle in self._handles[other]:
                data_centre = self._locate(handle)
                sizes[data_centre] = sizes.get(data_centre, 0) + size
        if number in self._route.final_stages:
            size = stage.result_bytes * self._counts[number]
            sizes[self._data_centre] = sizes.get(self._data_centre, 0) + size
        if not sizes:
            return "", 0
        best = max(sizes, key=sizes.__getitem__)
        return best, sizes[best]

    def _free_consumed_results(self) -> None:
        """Free the results whose reading stages have all finished."""
        for number in list(self._requested):
            readers = [
                other
                for other, stage in enumerate(self._route.stages)
                if number in stage.after
            ]
            if readers and all(self._done[reader].is_set() for reader in readers):
                self._requested.discard(number)
                self._dispatch_client.release_results(
                    self._route.stages[number].service, self._handles[number]
                )


def piece_counts(route: RouteRule, metadata: RequestMetadata) -> tuple[int, ...]:
    """Return the number of pieces in each stage; 1 where a request does not tell."""
    declared = metadata.piece_counts
    return declared + (1,) * (len(route.stages) - len(declared))


def make_admission_message(
    route: RouteRule,
    service: ServiceName,
    metadata: RequestMetadata,
    times: StageTimes,
    due_ms: float,
    expires_ms: float,
    **fields,
) -> EnterStages | None:
    """Return the request for admission to the longest chain of stages.

    None if there is no chain. `due_ms` and `expires_ms` are those of the response, and
    `fields` the further fields of the message.
    """
    counts = piece_counts(route, metadata)
    ends = [
        number
        for number in route.final_stages
        if counts[number] and any(counts[other] for other in route.stages[number].after)
    ]
    if not ends:
        return None
    number = max(ends, key=lambda end: times.chain_ms(route, counts, end))
    engine_ms = times.average_engine_ms(service, route, metadata)
    window = times.window(route, engine_ms, counts, number, due_ms, expires_ms)
    return EnterStages(
        service=route.stages[number].service,
        attempt=metadata.attempt,
        stage=number,
        count=counts[number],
        due_ms=window.due_ms,
        expires_ms=window.expires_ms,
        average_ms=times.chain_ms(route, counts, number),
        route_priority=route.priority,
        **fields,
    )
