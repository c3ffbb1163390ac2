"""Streams that are taken up again are refused after all gateways were killed at once.

Workers of two software versions serve side by side. Short resumable streams come in
steady numbers. All gateways are killed at the same moment and start again, three times. The
callers take up the streams that broke off, and new streams begin.
"""

import asyncio
import os
import time

from standins import Worker, configuration, route, run_case, service

GATEWAYS = 3
PER_VERSION = 3
RATE = 200.0
EVENTS, GAP_S = 5, 0.035
KILLS, EVERY_S, BEFORE_S, AFTER_S = 3, 14.1, 8.0, 12.0
RESTART_S = 0.5
STABLE_S = 3.0
DEADLINE_MS = 15_000
BACKOFF_S = (1.0, 2.0, 3.0)
"""Pauses of a caller before its tries; longer if it is told so."""

LEAST_STREAMS = 12


async def play(world, trouble, random):
    mixed = []

    async def model(worker, method, target, headers, body, connection):
        attempt = headers["attempt-id"]
        first = int(headers.get("last-event-id", "0")) + 1
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"Attempt-Id: {attempt}", f"Server-Seal: seal.{attempt}"]
        lines += ["Server-Load: 1,0,64", "Transfer-Encoding: chunked"]
        await asyncio.sleep(0.03)
        connection.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {worker.version}\n\n".encode()
            connection.write(b"%x\r\n%s\r\n" % (len(event), event))
            await connection.drain()
            await asyncio.sleep(GAP_S)
        connection.write(b"0\r\n\r\n")

    routes = [
        route(
            "mail",
            "streaming",
            "model",
            timeout_ms=DEADLINE_MS,
            slo_ms=1500,
            max_attempts=2,
            resumable=True,
            sticky=True,
            itl_target_ms=300,
        )
    ]
    engine = {"slots": 64, "kv_capacity": 581_128, "models": [{"name": "m"}]}
    workers = [
        Worker(world, f"i-{version}-{n}", "model", model, version=version, slots=64)
        for version in ("v1", "v2")
        for n in range(PER_VERSION)
    ]
    services = [service("model", engine=engine)]
    await world.start(configuration(routes, services), workers, GATEWAYS)
    started = {}
    """When each gateway was started again."""
    killed = []
    new = []
    taken_up = []
    broken_streams = []
    kill_at = time.monotonic() + BEFORE_S
    end = kill_at + (KILLS - 1) * EVERY_S + AFTER_S

    def in_touch(gateway, now):
        if not killed:
            return True
        return gateway.name in started and now >= started[gateway.name] + STABLE_S

    async def stream(number):
        headers = [
            ("Deadline-Ms", DEADLINE_MS),
            ("Model", "m"),
            ("Token-Count", "300,24"),
            ("Prompt-Prefix", f"{random.getrandbits(32):08x}:300"),
        ]
        gateway = world.gateways[number % GATEWAYS]
        sent = time.monotonic()
        got = await world.request(gateway, "POST", "/mail/x", headers, b"p", who="new")
        if got.complete and got.status == 200:
            new.append((sent, in_touch(gateway, sent), True))
            return
        if not got.events:
            new.append((sent, in_touch(gateway, sent), False))
            return
        first_attempt = got.attempt
        broken_streams.append(first_attempt)
        last, versions = len(got.events), {e.split("data: ")[1] for e in got.events}
        for turn, pause in enumerate(BACKOFF_S):
            told = float(got.headers.get("retry-after", "0")) if turn else 0.0
            await asyncio.sleep(max(pause, told))
            gateway = world.gateways[(number + turn + 1) % GATEWAYS]
            sent = time.monotonic()
            touch = in_touch(gateway, sent)
            more = [("Last-Event-Id", last), ("Resumes", first_attempt)]
            got = await world.request(
                gateway, "POST", "/mail/x", headers + more, b"p", who="taken-up"
            )
            goes_on = bool(got.events) or (got.status == 200 and got.complete)
            if got.status is not None:
                taken_up.append((sent, touch, goes_on, first_attempt, got.status))
            versions |= {e.split("data: ")[1] for e in got.events}
            if goes_on:
                break
        if len(versions) > 1:
            mixed.append(first_attempt)

    async def load():
        tasks, number = [], 0
        while time.monotonic() < end:
            tasks.append(asyncio.ensure_future(stream(number)))
            number += 1
            # Many come at all times but in the seconds after a kill.
            since = time.monotonic() - killed[-1] if killed else EVERY_S
            rate = RATE if since > 8.0 else RATE / 4
            await asyncio.sleep(random.expovariate(rate))
        await asyncio.gather(*tasks)

    async def day():
        for number in range(KILLS if trouble else 0):
            await asyncio.sleep(kill_at + number * EVERY_S - time.monotonic())
            started.clear()
            killed.append(time.monotonic())
            await asyncio.gather(*(gateway.kill() for gateway in world.gateways))
            await asyncio.sleep(RESTART_S)
            for gateway in world.gateways:
                await gateway.start()
                started[gateway.name] = time.monotonic()

    await asyncio.gather(load(), day())
    touched = [one for one in taken_up if one[1]]
    streams = {one[3] for one in touched}
    went_on = {one[3] for one in touched if one[2]}
    all_went_on = {one[3] for one in taken_up if one[2]}
    after = [one for one in new if killed and one[0] > killed[0] and one[1]]
    share = len(went_on) / len(streams) if streams else 1.0
    new_share = sum(one[2] for one in after) / len(after) if after else 1.0
    lines = [
        f"streams that broke off after their first event: {len(broken_streams)}; "
        f"{len(all_went_on)} of them went on",
        f"streams taken up again at machines in touch: {len(streams)}, "
        f"{len(went_on)} of them went on ({share:.2f})",
        f"new streams at machines in touch since the kill: {len(after)}, share that "
        f"began {new_share:.2f}",
        f"streams with events of two versions: {len(mixed)}",
    ]
    broken = len(streams) >= LEAST_STREAMS and share < new_share / 2
    return broken, lines


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), play)
