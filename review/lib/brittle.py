"""A stage service whose workers are brittle, before several gateways."""

import asyncio
import json
import random

from harness import Client, Gateway, Store, Worker, configuration, message, route

STAGE_WORKERS = 4
STABLE_S = 3.0
QUEUE, REJECTIONS = 2, 0
"""Calls that may wait at a worker at first, and the N that it names when brittle."""

BACK_AFTER_S, EXPIRY_S = 2.0, 3.6
CALL_S, ITEM_S = 0.15, 0.008
ALLOWED_FALLS = 2 + 0.1 * STAGE_WORKERS


class Brittle:
    """When the workers of the service say that they are brittle, and their falls."""

    def __init__(self):
        self.since_s = None
        self.falls = []
        self.generation = 0


class StageWorker(Worker):
    """Runs one call at a time; falls over if brittle and it rejects too many."""

    def __init__(self, store, name, service, record, brittle):
        super().__init__(store, name, service, record, slots=1)
        self.brittle, self.inside, self.rejected_s = brittle, 0, []
        self._turn = asyncio.Lock()
        self._fallen = False

    def state_headers(self):
        if self.brittle.since_s is None:
            return []
        return [("Server-Brittle", REJECTIONS)]

    def room(self):
        since_s = self.brittle.since_s
        if since_s is None or self.record.now_s() < since_s + STABLE_S:
            return 1 + QUEUE
        return 1

    async def work(self, method, target, headers, body, writer):
        if target == "/api/stage-free":
            writer.write(message(200, self.state_headers()))
            return True
        if self.inside >= self.room():
            return self._reject(writer)
        self.inside += 1
        items = json.loads(body)["items"]
        try:
            async with self._turn:
                await asyncio.sleep(CALL_S + ITEM_S * len(items))
        finally:
            self.inside -= 1
        made = [
            {"handle": f"{self.address}/{random.getrandbits(64):016x}"} for _ in items
        ]
        fields = [("Content-Type", "application/json"), *self.state_headers()]
        writer.write(message(200, fields, json.dumps({"items": made}).encode()))
        return True

    def _reject(self, writer):
        now_s = self.record.now_s()
        self.rejected_s = [one for one in [*self.rejected_s, now_s] if one > now_s - 1.0]
        self.record.write(f"{self.name} turns a call away, {len(self.rejected_s)} in 1 s")
        writer.write(message(503, [("Not-Run", "1"), *self.state_headers()]))
        too_many = len(self.rejected_s) > REJECTIONS
        if too_many and self.brittle.since_s is not None and not self._fallen:
            self._fallen = True
            self.brittle.falls.append((now_s, self.name))
            self.record.write(f"FALL {self.name} falls over")
            asyncio.get_running_loop().create_task(self._fall())
        return True

    async def _fall(self):
        await asyncio.sleep(0)
        self.close()
        await asyncio.sleep(BACK_AFTER_S)
        self.brittle.generation += 1
        name = f"{self.name.split('.')[0]}.{self.brittle.generation}"
        fresh = StageWorker(self.store, name, self.service, self.record, self.brittle)
        await fresh.start()
        self.record.write(f"{name} is there in place of {self.name}")
        await asyncio.sleep(EXPIRY_S - BACK_AFTER_S)
        self.store.delete("servers", self.name)


class ModelWorker(Worker):
    """Streams a short answer."""

    async def work(self, method, target, headers, body, writer):
        await asyncio.sleep(0.03)
        fields = [
            ("Attempt-Id", headers.get("attempt-id", "")),
            ("Server-Seal", "x.1"),
            ("Content-Type", "text/event-stream"),
        ]
        writer.write(message(200, fields, b"id: 1\ndata: x\n\n"))
        return True


async def keep_asking(client, name, stop, answered):
    number = 0
    while not stop.is_set():
        number += 1
        headers = {
            "Attempt-Id": f"{name}-{number:04d}",
            "Deadline-Ms": "6000",
            "Model": "m",
            "Token-Count": "500,12",
            "Chunk-Count": "2",
            "Chunk-Key": "5c1e07a291bd",
        }
        status, got, _ = await client.request("/quote/1", headers)
        answered.append(status)
        if status != 200:
            await asyncio.sleep(min(2.0, float(got.get("retry-after", 0.2))))


class Deployment:
    """A store, a stage service, a model service, gateways, and clients of all of them."""

    def __init__(self, record, folder, gateways):
        self.record, self.folder, self.gateways = record, folder, gateways
        self.brittle = Brittle()
        self.answered = []
        self._stop = asyncio.Event()
        self._tasks = []

    async def start(self, gateways, clients_each):
        """Start everything; return when the load has been on for some seconds."""
        record = self.record
        store = await Store().listen()
        segments = {
            "slots": 1, "queue": QUEUE, "batch": 4, "call_ms": 150, "item_ms": 8,
            "headroom_mb": 85.0, "handle_s": 4.0, "link_mbps": 10_000,
        }
        services = [
            {"name": "quote-model", "max_conns": 500,
             "engine": {"slots": 96, "kv_capacity": 600_000}},
            {"name": "blank-stock", "max_conns": 500, "segments": segments},
        ]
        stages = [{"service": "blank-stock", "after": [], "bytes": 8_000}]
        routes = [route("quote", "streaming", "quote-model", stages=stages)]
        store.put("config", "main", configuration(1, routes, services))
        for number in range(STAGE_WORKERS):
            name = f"stock-{number}"
            await StageWorker(store, name, "blank-stock", record, self.brittle).start()
        for number in range(2):
            await ModelWorker(store, f"model-{number}", "quote-model", record, 96).start()
        for number in range(gateways):
            gateway = Gateway(self.folder, f"edge-{number + 1}", store)
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(5.0)
        self._tasks = [
            asyncio.create_task(
                keep_asking(
                    Client(gateway.front, record),
                    f"{gateway.name}-{n}",
                    self._stop,
                    self.answered,
                )
            )
            for gateway in self.gateways
            for n in range(clients_each)
        ]
        await asyncio.sleep(2.0)

    async def make_brittle(self):
        """Let the workers say that they are brittle; return when their room shrank."""
        self.brittle.since_s = self.record.now_s()
        self.record.write(
            f"the workers say that they are brittle, Server-Brittle: {REJECTIONS}"
        )
        await asyncio.sleep(STABLE_S)

    async def stop(self):
        """Let the clients finish."""
        self.brittle.since_s = None
        self._stop.set()
        await asyncio.gather(*self._tasks)
        self.record.write(
            f"{len(self.answered)} requests, {self.answered.count(200)} served"
        )
