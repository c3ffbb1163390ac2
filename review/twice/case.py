"""A stream of a worker that falls silent for a moment runs at two workers.

One caller reads resumable streams one after the other, as at night. In each stream the
worker that writes it is silent for a moment: it works on, and sends what it has made when
the silence ends. Each worker takes 0.8 s to the first event of a run.
"""

import asyncio
import os
import time

from standins import Worker, configuration, route, run_case, service

GATEWAYS, WORKERS = 2, 3
FIRST_EVENT_S, GAP_S, EVENTS = 0.8, 0.1, 30
SILENT_AFTER, SILENCE_S = 3, 1.5
OVERLAP_S = 0.4
STREAMS = 10


async def play(world, trouble, random):
    runs = []

    async def model(worker, method, target, headers, body, connection):
        attempt = headers["attempt-id"]
        after = headers.get("last-event-id")
        run = {"attempt": attempt, "worker": worker.name, "after": after}
        run |= {"from": time.monotonic(), "first": None, "to": None, "events": 0}
        runs.append(run)
        world.record(worker.name, "begins", attempt=attempt, after=after)
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += [f"Attempt-Id: {attempt}", f"Server-Seal: seal.{attempt}"]
            lines += [f"Server-Load: {worker.running},0,64"]
            lines += ["Transfer-Encoding: chunked"]
            unsent = ("\r\n".join(lines) + "\r\n\r\n").encode()
            first = int(after or 0) + 1
            silent_until = 0.0
            for number in range(first, EVENTS + 1):
                if trouble and after is None and number == SILENT_AFTER + 1:
                    silent_until = time.monotonic() + SILENCE_S
                    world.record(worker.name, "falls silent", attempt=attempt)
                event = f"id: {number}\ndata: {attempt}\n\n".encode()
                unsent += b"%x\r\n%s\r\n" % (len(event), event)
                run["events"] += 1
                if time.monotonic() >= silent_until:
                    run["first"] = run["first"] or time.monotonic()
                    connection.write(unsent)
                    await connection.drain()
                    unsent = b""
                await asyncio.sleep(GAP_S)
            await asyncio.sleep(max(0.0, silent_until - time.monotonic()))
            connection.write(unsent + b"0\r\n\r\n")
        finally:
            run["to"] = time.monotonic()
            world.record(
                worker.name, "ends", attempt=attempt, events=run["events"], after=after
            )

    routes = [
        route(
            "mail",
            "streaming",
            "model",
            timeout_ms=15_000,
            slo_ms=1500,
            max_attempts=2,
            resumable=True,
            sticky=True,
            itl_target_ms=300,
        )
    ]
    engine = {"slots": 64, "kv_capacity": 581_128, "models": [{"name": "m"}]}
    workers = [
        Worker(world, f"i-model{n}", "model", model, slots=64) for n in range(WORKERS)
    ]
    configured = configuration(routes, [service("model", engine=engine)])
    await world.start(configured, workers, GATEWAYS)
    whole = 0
    for _ in range(STREAMS):
        got = await world.request(
            world.gateways[0],
            "POST",
            "/mail/x",
            [
                ("Deadline-Ms", 15_000),
                ("Model", "m"),
                ("Token-Count", "2000,120"),
                ("Prompt-Prefix", f"{random.getrandbits(32):08x}:2000"),
            ],
            b"prompt",
            timeout_s=16.0,
        )
        ids = [e.split("\n")[0] for e in got.events]
        whole += ids == [f"id: {n}" for n in range(1, EVENTS + 1)] and got.complete
        await asyncio.sleep(0.3)
    overlaps = []
    for attempt in dict.fromkeys(run["attempt"] for run in runs):
        first, *others = [run for run in runs if run["attempt"] == attempt]
        for other in others:
            if other["worker"] != first["worker"]:
                overlaps.append(min(first["to"], other["to"]) - other["from"])
    late = [overlap for overlap in overlaps if overlap > OVERLAP_S]
    lines = [
        f"{STREAMS} streams, {whole} of them whole, {len(runs)} runs at workers",
        "time in s for which two workers had a stream: "
        + ", ".join(f"{overlap:.2f}" for overlap in overlaps),
        f"streams at which the worker before still worked over {OVERLAP_S:g} s after "
        f"another one had begun: {len(late)}",
    ]
    return bool(late), lines


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), play)
