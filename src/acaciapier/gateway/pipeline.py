"""The stages of one request: run as their inputs come, results freed once read."""

from collections.abc import Callable

import trio

from ..core.clock import Clock, to_s
from ..core.ids import Fingerprint
from ..wire.messages.gateway import EnterStages, RunPieces
from .dispatch.desk import Desk
from .dispatch.refusal import MIN_RETRY_MS, Refused
from .models import RequestTerms, RouteRule, ServiceName
from .stage_times import StageTimes, StageWindow, longest_ms


class StageRun:
    """Runs the stages of one request.

    Parameters
    ----------
    desk : Desk
        Where pieces are asked for.
    times : StageTimes
        Expected times.
    clock : Clock
        Source of time.
    route : RouteRule
        Route with the stages.
    terms : RequestTerms
        What the request says of itself.
    due_s, expires_s : float
        When the first part is wanted, and when the answer is useless.
    priority : int
        Rank of the request.
    value : float
        What an answer in time is worth.
    data_centre : str
        Where final results are best made.
    locate : callable
        Returns the data centre of a result.
    fingerprint : Fingerprint
        Hash of the request's content and caller.
    """

    def __init__(
        self,
        desk: Desk,
        times: StageTimes,
        clock: Clock,
        route: RouteRule,
        terms: RequestTerms,
        due_s: float,
        expires_s: float,
        priority: int,
        value: float,
        data_centre: str,
        locate: Callable[[str], str],
        fingerprint: Fingerprint,
    ):
        self.refused: Refused | None = None
        self.admission_ms = 0.0
        """Time that the request waited before its stages."""
        self._desk = desk
        self._times = times
        self._clock = clock
        self._route = route
        self._terms = terms
        self._due_s = due_s
        self._expires_s = expires_s
        self._priority = priority
        self._value = value
        self._data_centre = data_centre
        self._locate = locate
        self._fingerprint = fingerprint
        given = terms.piece_counts
        self._counts = given + (1,) * (len(route.stages) - len(given))
        self._handles: dict[int, tuple[str, ...]] = {}
        self._asked: set[int] = set()
        self._done = {n: trio.Event() for n in range(len(route.stages))}

    @property
    def inputs(self) -> tuple[str, ...]:
        """Handles of all final results, in the order of the stages."""
        return tuple(h for n in self._route.final_stages for h in self._handles[n])

    def final_results(self) -> list[tuple[str, int]]:
        """Return the handles of all final results with their sizes."""
        return [
            (handle, self._route.stages[number].result_bytes)
            for number in self._route.final_stages
            for handle in self._handles.get(number, ())
        ]

    def forecast_ms(self) -> float:
        """Return the time to the first part of the answer, with all waiting."""

        def stage_ms(service: ServiceName) -> float:
            wait_ms = self._desk.wait_ms(service, self._priority)
            return self._times.least_ms(service) + wait_ms

        first = [
            number
            for number, stage in enumerate(self._route.stages)
            if not stage.after and self._counts[number]
        ]
        chains_ms = (
            stage_ms(self._route.stages[number].service)
            + longest_ms(self._route, self._counts, number, stage_ms)
            for number in first
        )
        return max(chains_ms, default=0.0) + self._times.engine_ms(self._terms)

    async def run(self) -> None:
        """Run all stages.

        Raises
        ------
        Refused
            If one could not be done in time.
        """
        left_ms = (self._expires_s - self._clock.monotonic_s()) * 1_000.0
        forecast_ms = self.forecast_ms()
        if forecast_ms > left_ms:
            raise Refused("overload", MIN_RETRY_MS + forecast_ms - left_ms)
        await self._enter()
        async with trio.open_nursery() as nursery:
            for number in range(len(self._route.stages)):
                nursery.start_soon(self._run_stage, number, nursery)
        if self.refused is not None:
            raise self.refused

    async def _enter(self) -> None:
        """Wait until the longest chain of stages may begin.

        Requests without a chain wait only in the queues of their stages.
        """
        number = self._chain_end()
        if number is None:
            return
        now_s = self._clock.monotonic_s()
        engine_ms = self._times.usual_engine_ms(self._route, self._terms)
        window = self._window(number, now_s, engine_ms)
        service = self._route.stages[number].service
        self._asked.add(number)
        try:
            await self._desk.enter_stages(
                EnterStages(
                    service=service,
                    attempt=self._terms.attempt,
                    stage=number,
                    count=self._counts[number],
                    due_ms=window.due_ms,
                    expires_ms=window.expires_ms,
                    average_ms=self._times.chain_ms(self._route, self._counts, number),
                    priority=self._priority,
                    route_priority=self._route.priority,
                    fingerprint=self._fingerprint,
                )
            )
        except Refused:
            self._asked.discard(number)
            raise
        finally:
            self.admission_ms = (self._clock.monotonic_s() - now_s) * 1_000.0

    def _chain_end(self) -> int | None:
        """Return the last stage of the longest chain; None if there is no chain."""
        ends = [
            number
            for number in self._route.final_stages
            if self._counts[number]
            and any(self._counts[one] for one in self._route.stages[number].after)
        ]
        return max(
            ends,
            key=lambda one: self._times.chain_ms(self._route, self._counts, one),
            default=None,
        )

    def release(self) -> None:
        """Give up everything that was asked for or made; safe to call twice."""
        for number in sorted(self._asked):
            service = self._route.stages[number].service
            handles = self._handles.pop(number, None)
            if handles is None:
                self._desk.cancel(service, self._terms.attempt)
            else:
                self._desk.free(service, handles)
        self._asked.clear()

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
        engine_ms = self._times.engine_ms(self._terms)
        window = self._window(number, now_s, engine_ms)
        inputs = tuple(h for other in stage.after for h in self._handles[other])
        data_centre, transfer_bytes = self._best_place(number)
        message = RunPieces(
            service=stage.service,
            attempt=self._terms.attempt,
            stage=number,
            count=self._counts[number],
            key=self._terms.piece_key,
            inputs=inputs,
            result_bytes=stage.result_bytes,
            due_ms=window.due_ms,
            latest_ms=window.latest_ms,
            expires_ms=window.expires_ms,
            priority=self._priority,
            value=self._value,
            data_centre=data_centre,
            transfer_bytes=transfer_bytes,
        )
        self._asked.add(number)
        try:
            self._handles[number] = await self._desk.run_pieces(message)
        except Refused as refused:
            self.refused = refused
            nursery.cancel_scope.cancel()
            return
        elapsed_ms = (self._clock.monotonic_s() - now_s) * 1_000.0
        self._times.observe(stage.service, elapsed_ms)
        self._done[number].set()
        self._free_read()

    def _window(self, number: int, now_s: float, engine_ms: float) -> StageWindow:
        return self._times.window(
            self._route,
            engine_ms,
            self._counts,
            number,
            (self._due_s - now_s) * 1_000.0,
            (self._expires_s - now_s) * 1_000.0,
        )

    def _best_place(self, number: int) -> tuple[str, int]:
        """Return where a stage is best run, and what is transferred otherwise.

        Its inputs are read by each of its pieces; final results by the engine.
        """
        stage = self._route.stages[number]
        sizes: dict[str, int] = {}
        for other in stage.after:
            size = self._route.stages[other].result_bytes * self._counts[number]
            for handle in self._handles[other]:
                place = self._locate(handle)
                sizes[place] = sizes.get(place, 0) + size
        if number in self._route.final_stages:
            size = stage.result_bytes * self._counts[number]
            sizes[self._data_centre] = sizes.get(self._data_centre, 0) + size
        if not sizes:
            return "", 0
        best = max(sizes, key=sizes.__getitem__)
        return best, sizes[best]

    def _free_read(self) -> None:
        """Free the results that every stage reading them has read."""
        for number in list(self._asked):
            readers = [
                other
                for other, stage in enumerate(self._route.stages)
                if number in stage.after
            ]
            if readers and all(self._done[one].is_set() for one in readers):
                self._asked.discard(number)
                self._desk.free(
                    self._route.stages[number].service, self._handles[number]
                )
