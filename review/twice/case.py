"""A sound worker that falls silent for a moment in a stream, and the second worker.

Two gateways, three model workers, and one caller that reads resumable streams one after
another, as at night. A worker takes 0.8 s to the first event of a run, inside the aim of
the route. With trouble, the worker that writes a stream is silent for 1.6 s after its
third event and then goes on.
"""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from deployment import TROUBLE, ask, run_case  # noqa: E402

import trio  # noqa: E402
from acaciapier_standins.platform import platform as standin  # noqa: E402
from acaciapier_standins.platform.platform import configuration, route  # noqa: E402
from acaciapier_standins.platform.workers import StandInWorker  # noqa: E402

FIRST_EVENT_S, EVENT_GAP_S, EVENTS = 0.8, 0.1, 8
SILENT_AFTER, SILENCE_S = 3, 1.6
OVERLAP_S = 0.4
STREAMS = 8
NAMES = ["edge-1", "edge-2"]
ROUTES = [
    route(
        "mail",
        "streaming",
        "model",
        timeout_ms=5_000,
        slo_ms=1_500,
        itl_target_ms=300,
        max_attempts=2,
        resumable=True,
    )
]
SERVICES = [
    {
        "name": "model",
        "max_conns": 500,
        "engine": {"slots": 96, "kv_capacity": 635_140},
    }
]


class Worker(StandInWorker):
    """A worker that writes streams and goes on after `Last-Event-Id`."""

    async def _stream(self, run, headers, exchange) -> None:
        after = headers.get("last-event-id")
        first = int(after or 0) + 1
        await trio.sleep(FIRST_EVENT_S)
        content_type = (b"Content-Type", b"text/event-stream")
        await exchange.start(200, [*self._identity_headers(run), content_type])
        for number in range(first, EVENTS + 1):
            if TROUBLE and after is None and number == SILENT_AFTER + 1:
                await trio.sleep(SILENCE_S)
            await exchange.send(
                f"id: {number}\ndata: {run.attempt} {number}\n\n".encode()
            )
            run.events += 1
            await trio.sleep(EVENT_GAP_S)
        await exchange.end()


async def play(platform, gateways, record, nursery) -> int:
    """Play the case and return the exit status."""
    standin.StandInWorker = Worker
    platform.more_settings = ("bounds.stable_ms=3000",)
    for number in (1, 2, 3):
        await platform.add_worker(f"model-{number}", "model", kind="stream")
    platform.configure(configuration(1, ROUTES, SERVICES))
    for name in NAMES:
        gateways.start(name)
    await gateways.wait_until_ready(*NAMES)
    await trio.sleep(4.5)
    broken = 0
    for number in range(STREAMS):
        known = len(platform.run_log.runs)
        answer = await ask(
            gateways.front(NAMES[0]), "/mail/1", f"a{number}", deadline_ms=5_000
        )
        record.write(f"a{number}: {answer.status}, whole={answer.whole}")
        await trio.sleep(0.3)
        runs = platform.run_log.runs[known:]
        for run in runs:
            ended_s = run.ended_s or trio.current_time()
            record.write(
                f"a{number} ran at {run.worker} from {run.started_s:.3f} to "
                f"{ended_s:.3f}, after event {run.headers.get('last-event-id')}, "
                f"{run.events} events"
            )
        if len(runs) > 1:
            first, second = runs[0], runs[1]
            ends_s = [run.ended_s or trio.current_time() for run in (first, second)]
            overlap_s = min(ends_s) - second.started_s
            record.write(f"a{number}: both worked on it for {overlap_s:.3f} s")
            broken += overlap_s > OVERLAP_S and second.worker != first.worker
    record.write(f"streams at two workers for over {OVERLAP_S:g} s: {broken}")
    return 1 if broken else 0


run_case(FOLDER, play)
