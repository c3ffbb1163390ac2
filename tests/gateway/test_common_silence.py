"""All workers of all services are silent for a while at once and go on."""

import json
from collections import Counter
from dataclasses import dataclass

import pytest
import trio

from acaciapier_standins.platform.example import ROUTES as ROUTE_RULES
from acaciapier_standins.platform.platform import configuration

from .support import SERVICES, deployment

ROUTES = ("lookup", "confirm", "chat", "mail", "staged")
PERIOD_S = 0.1
"""Time between the requests of a route."""

SETTLE_S, AFTER_S = 1.0, 3.0


@dataclass
class Call:
    """One request and how it ended."""

    route: str
    begun_s: float
    """Since the silence began."""
    status: int = 0
    complete: bool = False

    @property
    def served(self) -> bool:
        return self.status == 200 and self.complete


class Load:
    """Sends requests of all routes at a steady rate over kept connections."""

    def __init__(self, world, silence_s: float, routes: tuple[str, ...] = ROUTES):
        self.calls: list[Call] = []
        self.spans = {
            (-SETTLE_S, 0.0): "before",
            (0.0, silence_s): "during",
            (silence_s, silence_s + AFTER_S): "after",
        }
        self._routes = routes
        self._silence_s = silence_s
        self._world = world
        self._idle = {number: [] for number in range(len(world.gateways))}

    async def run(self) -> None:
        """Send requests before, during and after a common silence."""
        start_s = trio.current_time()
        silent_s = start_s + SETTLE_S
        count = round((SETTLE_S + self._silence_s + AFTER_S) / PERIOD_S)
        workers = self._world.platform.workers.values()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._silence, silent_s, list(workers))
            for number in range(count):
                await trio.sleep_until(start_s + number * PERIOD_S)
                for route in self._routes:
                    call = Call(route, trio.current_time() - silent_s)
                    self.calls.append(call)
                    nursery.start_soon(self._send, call, f"{route}-{number}", number)

    def describe(self, from_s: float, to_s: float) -> str:
        """Return how the requests that began in a span ended, by route."""
        return "; ".join(
            f"{route} {dict(self._ends(route, from_s, to_s))}" for route in self._routes
        )

    def _ends(self, route: str, from_s: float, to_s: float) -> Counter:
        return Counter(
            call.status if call.complete else f"{call.status} cut"
            for call in self.calls
            if from_s <= call.begun_s < to_s and call.route == route
        )

    async def _silence(self, silent_s: float, workers) -> None:
        await trio.sleep_until(silent_s)
        over = trio.Event()
        for worker in workers:
            worker.faults.silence = over
        await trio.sleep(self._silence_s)
        over.set()

    async def _send(self, call: Call, attempt: str, number: int) -> None:
        number %= len(self._world.gateways)
        idle = self._idle[number]
        caller = idle.pop() if idle else self._world.caller(number)
        stages = {"Chunk_Count": "2,1", "Chunk_Key": "k"}
        headers = stages if call.route == "staged" else {}
        answer = await caller.request(
            "POST", f"/{call.route}/1", b"{}", Attempt_Id=attempt, **headers
        )
        call.status, call.complete = answer.status, answer.complete
        if answer.complete:
            idle.append(caller)


@pytest.mark.parametrize("silence_s", [0.9, 1.3, 1.6])
@pytest.mark.parametrize("gateways", [1, 3])
async def test_a_common_silence_of_sound_workers_costs_no_request(gateways, silence_s):
    await play_common_silence(gateways, silence_s, ROUTES)


@pytest.mark.parametrize("silence_s", [0.9, 1.3, 1.6])
@pytest.mark.parametrize("gateways", [1, 3])
async def test_a_common_silence_costs_no_request_with_stages(gateways, silence_s):
    """Guards against stages that start too late after a silence of all workers."""
    await play_common_silence(gateways, silence_s, ("staged",))


async def play_common_silence(gateways: int, silence_s: float, routes: tuple[str, ...]):
    async with deployment(gateways) as world:
        # A busy machine may hold the gateways up for a while.
        rules = [{**route, "timeout_ms": 3_000} for route in ROUTE_RULES]
        world.platform.configure(configuration(2, rules, SERVICES))
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: gateway.catalogue.configuration.version == 2
            )
        load = Load(world, silence_s, routes)
        await load.run()
        print(f"{gateways} gateways, silent {silence_s} s")
        for span, name in load.spans.items():
            print(f"{name}: {load.describe(*span)}")
        log = world.platform.run_log
        assert all(call.served for call in load.calls)
        runs = Counter(run.attempt for run in log.runs)
        assert not [
            attempt
            for attempt, count in runs.items()
            if count > 1 and attempt.startswith(("confirm", "chat"))
        ]
        await world.until(lambda: log.freed == sum(log.pieces.values()))


@pytest.mark.parametrize("silence_s", [0.9, 1.3, 1.6])
@pytest.mark.parametrize("route", ["lookup", "mail"])
async def test_no_worker_is_excluded_for_a_silence_of_all(route, silence_s, capfd):
    async with deployment() as world:
        await world.caller().request("POST", f"/{route}/1", b"{}", Attempt_Id="first")
        over = trio.Event()
        for worker in world.platform.workers.values():
            worker.faults.silence = over
        answers = []

        async def call(number: int) -> None:
            answer = await world.caller().request(
                "POST", f"/{route}/1", b"{}", Attempt_Id=f"a{number}"
            )
            answers.append((answer.status, answer.complete))

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(call, number)
            await trio.sleep(silence_s)
            over.set()
        assert answers == [(200, True)] * 6
        output = capfd.readouterr().out
        assert "worker_excluded" not in output


async def test_a_worker_that_is_silent_alone_is_excluded(capfd):
    lines = []

    def excluded() -> set[str]:
        lines.extend(map(json.loads, capfd.readouterr().out.splitlines()))
        return {
            line["worker"].partition("/")[0]
            for line in lines
            if line["event"] == "worker_excluded"
        }

    async with deployment() as world:
        names = {"model-1", "model-2"}
        for name in names:
            world.platform.workers[name].faults.silence = trio.Event()
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.arrivals)
        first = world.platform.run_log.arrivals[0].worker
        (other,) = names - {first}
        world.platform.workers[other].faults.silence = None
        answer = await caller.receive()
        assert (answer.status, answer.complete) == (200, True)
        await world.until(excluded)
        assert excluded() == {first}


async def test_a_common_silence_leaves_the_retry_budget_to_failures():
    async with deployment() as world:
        workers = world.platform.workers
        names = [f"model-{number}" for number in range(1, 7)]
        for name in names[2:]:
            await world.platform.add_worker(name, "model", kind="stream")
        await world.until(lambda: len(world.gateways[0].catalogue.workers) == 12)
        over = trio.Event()
        for name in names:
            workers[name].faults.silence = over
        statuses = []

        async def call(attempt: str) -> None:
            answer = await world.caller().request(
                "POST", "/mail/1", b"{}", Attempt_Id=attempt
            )
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(48):
                nursery.start_soon(call, f"a{number}")
            await trio.sleep(1.3)
            over.set()
        assert statuses == [200] * 48
        workers["model-1"].faults.status = 500
        for number in range(12):
            await call(f"b{number}")
        assert statuses[48:] == [200] * 12


async def test_requests_go_on_elsewhere_if_only_their_connections_are_silent():
    """Guards against requests that stay at workers which answer others."""
    async with deployment() as world:
        books = [world.platform.workers[name] for name in ("book-1", "book-2")]
        for worker in books:
            worker.faults.silence = trio.Event()
        answers = []

        async def call(number: int) -> None:
            answer = await world.caller().request(
                "POST", "/lookup/1", b"{}", Attempt_Id=f"a{number}"
            )
            answers.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(call, number)
            await world.until(lambda: len(world.platform.run_log.arrivals) == 6)
            for worker in books:
                worker.faults.silence = None
        assert answers == [200] * 6


@pytest.mark.parametrize("silence_s", [0.9, 1.3])
async def test_a_resumed_stream_waits_for_the_reports_of_silent_workers(silence_s):
    """Guards against resumes that are refused while a report is late."""
    async with deployment(gateways=2) as world:
        for name in ("model-1", "model-2"):
            world.platform.workers[name].faults.pause_s = 0.3
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(
            lambda: (
                world.platform.run_log.runs and world.platform.run_log.runs[0].events
            )
        )
        await trio.sleep(0.1)
        await caller.aclose()
        await trio.sleep(0.1)
        over = trio.Event()
        for worker in world.platform.workers.values():
            worker.faults.silence = over
        async with trio.open_nursery() as nursery:

            async def end_silence() -> None:
                await trio.sleep(silence_s)
                over.set()

            nursery.start_soon(end_silence)
            answer = await world.caller(1).request(
                "POST",
                "/mail/1",
                b"{}",
                Attempt_Id="a2",
                Resumes="a1",
                Last_Event_Id="1",
            )
        assert (answer.status, answer.complete) == (200, True)
