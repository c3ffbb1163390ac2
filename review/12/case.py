"""A late second answer of a stage worker is taken for the answer to another call.

Stage workers send some of their answers a second time, late: at the point where the
answer to the next call on that connection is due. Callers come in steady numbers, and in
bursts in which the slower workers get calls, too.
"""

import asyncio
import json
import os
import time

from standins import Worker, answer, configuration, route, run_case, service

GATEWAYS = 2
FAST, SLOW = 16, 6
SLOWER = 1.3
BATCH, CALL_MS, ITEM_MS, HANDLE_S = 84, 150.0, 1.486, 4.0
RESULT_BYTES = 1000
KEEP_ALIVE_S = 15
LOOPS = 16
BURST, BURST_EVERY_S = 28, 3.3
LONG_PROMPT_S, SHORT_PROMPT_S = 4.0, 0.06
LENGTH_S = 85.0
GARBLE_SHARE, GARBLE_X = 0.6, 0.05
"""Largest doses of `garble`, how = "extra late", in kva-tbilisi.toml."""


async def play(world, trouble, random):
    results = {}
    """Owner and end of each result by its handle."""
    made = {}
    """Owner of each result that was ever made."""
    given = set()
    copies = []
    found = []
    foreign = []
    counts = {"calls": 0, "answers": 0, "served": 0, "requests": 0, "late copies": 0}

    async def desk(worker, method, target, headers, body, connection):
        keep = [("Keep-Alive", f"timeout={KEEP_ALIVE_S}")]
        if target == "/api/stage-free":
            for handle in json.loads(body)["handles"]:
                results.pop(handle, None)
            connection.write(answer(200, keep))
            return
        copy = connection.state.pop("copy", None)
        if copy is not None:
            # It arrives where the answer to this call is due.
            counts["late copies"] += 1
            world.record(worker.name, "second answer to an earlier call")
            connection.write(copy)
        items = json.loads(body)["items"]
        counts["calls"] += 1
        worker.running += 1
        factor = worker.data["factor"] * random.uniform(0.97, 1.03)
        try:
            await asyncio.sleep(factor * (CALL_MS + ITEM_MS * len(items)) / 1000.0)
        finally:
            worker.running -= 1
        outcomes = []
        now = time.monotonic()
        for item in items:
            handle = f"{worker.address}/{random.getrandbits(64):016x}"
            results[handle] = item["id"], now + HANDLE_S
            made[handle] = item["id"]
            outcomes.append({"handle": handle})
        owners = sorted({item["id"] for item in items})
        world.record(worker.name, "ran pieces", of=",".join(owners), count=len(items))
        head = [("Content-Type", "application/json"), ("Server-Load", "0,0,1"), *keep]
        data = answer(200, head, json.dumps({"items": outcomes}).encode())
        connection.write(data)
        if trouble and worker.data["garbles"] and random.random() < GARBLE_X:
            connection.state["copy"] = data
            copies.append(worker.name)

    async def model(worker, method, target, headers, body, connection):
        attempt = headers["attempt-id"]
        now = time.monotonic()
        handles = [h for h in headers.get("inputs", "").split(",") if h]
        foreign_handles = [h for h in handles if made.get(h, attempt) != attempt]
        if foreign_handles:
            given.add(attempt)
        gone = [h for h in handles if h not in results or results[h][1] < now]
        identity = [("Attempt-Id", attempt), ("Server-Load", f"{worker.running},0,128")]
        others = {results[h][0] for h in handles if h not in gone} - {attempt}
        if others:
            text = ",".join(sorted(others))
            found.append((attempt, text))
            world.record(worker.name, "got inputs of", other=text, request=attempt)
        if gone or not handles:
            status = 409 if gone else 400
            connection.write(answer(status, [*identity, ("Not-Run", "1")]))
            return
        owners = sorted({results[h][0] for h in handles})
        worker.running += 1
        try:
            await asyncio.sleep(LONG_PROMPT_S if "long" in target else SHORT_PROMPT_S)
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += [f"{name}: {value}" for name, value in identity]
            lines += [f"Server-Seal: seal.{attempt}", "Transfer-Encoding: chunked"]
            connection.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(1, 4):
                event = f"id: {number}\ndata: from {','.join(owners)}\n\n".encode()
                connection.write(b"%x\r\n%s\r\n" % (len(event), event))
                await connection.drain()
                await asyncio.sleep(0.02)
            connection.write(b"0\r\n\r\n")
        finally:
            worker.running -= 1

    stages = [{"service": "desk", "after": [], "bytes": RESULT_BYTES}]
    routes = [
        route(
            "mail",
            "streaming",
            "model",
            timeout_ms=15_000,
            slo_ms=6_000,
            stages=stages,
            sticky=True,
            itl_target_ms=300,
        )
    ]
    segments = {"slots": 1, "queue": 2, "batch": BATCH, "call_ms": CALL_MS}
    segments |= {"item_ms": ITEM_MS, "headroom_mb": 1.4, "handle_s": HANDLE_S}
    engine = {"slots": 128, "kv_capacity": 581_128, "models": [{"name": "m"}]}
    services = [
        service("model", engine=engine),
        service("desk", segments=segments | {"link_mbps": 10_000}),
    ]
    workers = [Worker(world, f"i-model{n}", "model", model, slots=128) for n in range(3)]
    for number in range(FAST + SLOW):
        worker = Worker(world, f"i-desk{number:02d}", "desk", desk, slots=1)
        worker.data["factor"] = 1.0 if number < FAST else SLOWER
        workers.append(worker)
    desks = workers[3:]
    garbling = random.sample(desks, int(GARBLE_SHARE * len(desks)))
    for worker in desks:
        worker.data["garbles"] = worker in garbling
    await world.start(configuration(routes, services), workers, GATEWAYS)
    end = time.monotonic() + LENGTH_S

    async def one(kind, gateway, who):
        long = kind == "long"
        counts["requests"] += 1
        tokens = 15_000 if long else 300
        got = await world.request(
            gateway,
            "POST",
            f"/mail/{kind}",
            [
                ("Deadline-Ms", 15_000),
                ("Model", "m"),
                ("Token-Count", f"{tokens},12"),
                ("Prompt-Prefix", f"{random.getrandbits(32):08x}:{tokens}"),
                ("Chunk-Count", str(BATCH)),
                ("Chunk-Key", f"{random.getrandbits(48):012x}"),
            ],
            b"prompt",
            who=who,
            timeout_s=16.0,
        )
        if got.status == 200 and got.complete:
            counts["served"] += 1
            wrong = [e for e in got.events if f"from {got.attempt}" not in e]
            if wrong:
                foreign.append((got.attempt, wrong[0].replace("\n", " ")))
                world.record(who, "answer made from", event=wrong[0].split("from ")[1])
        return got

    async def loop(number):
        while time.monotonic() < end:
            got = await one("short", world.gateways[number % GATEWAYS], f"loop-{number}")
            if got.status != 200:
                await asyncio.sleep(0.3)

    async def bursts():
        tasks = []
        while time.monotonic() < end - 5.0:
            for number in range(BURST):
                gateway = world.gateways[number % GATEWAYS]
                tasks.append(asyncio.ensure_future(one("long", gateway, "burst")))
            await asyncio.sleep(BURST_EVERY_S)
        await asyncio.gather(*tasks)

    await asyncio.gather(*(loop(n) for n in range(LOOPS)), bursts())
    lines = [
        ", ".join(f"{name} {count}" for name, count in counts.items()),
        f"answers of stage workers that were sent twice: {len(copies)}",
        f"requests that reached a model worker with inputs of another, also with such "
        f"as were gone: {len(given)}",
        f"requests that reached a model worker with living inputs of another: "
        f"{len({a for a, _ in found})}",
        f"callers that got a success made from another request's inputs: {len(foreign)}",
    ]
    lines += [f"request {a} was given inputs of {o}" for a, o in found[:5]]
    return bool(found), lines


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), play)
