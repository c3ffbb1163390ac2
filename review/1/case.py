"""Requests that last as long as they may: do callers get a final answer?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from harness import (
    HOST, TROUBLE, Gateway, Record, Store, Worker, configuration, message, read_message,
    route, run,
)

WORKERS, SLOTS, CLIENTS = 3, 8, 24
WORK_S, TIMEOUT_MS, SHORT_TIMEOUT_MS = 0.3, 800, 200
BEFORE_S, PLAY_S = 5.0, 20.0
passed_on = set()


class OrderWorker(Worker):
    """Works for 0.3 s, or answers 504 at the deadline that it was handed."""

    async def work(self, method, target, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        passed_on.add(attempt)
        deadline_s = int(headers["deadline-ms"]) / 1_000.0
        fields = [("Attempt-Id", attempt), ("Server-Seal", "x.1")]
        await asyncio.sleep(min(WORK_S, deadline_s))
        if deadline_s < WORK_S:
            writer.write(message(504, fields))
        else:
            writer.write(message(200, fields, f"done {attempt}".encode()))
        return True


async def keep_asking(name, port, record, until_s, ended):
    """Send request after request on one kept channel; open another if it closes."""
    number, reader, writer = 0, None, None
    while record.now_s() < until_s:
        number += 1
        attempt = f"{name}-{number:03d}"
        if writer is None:
            reader, writer = await asyncio.open_connection(HOST, port)
        lines = [
            "POST /confirm/1 HTTP/1.1", "Host: orders.example", "Content-Length: 2",
            f"Attempt-Id: {attempt}", "Deadline-Ms: 1500",
        ]
        sent_s = record.now_s()
        writer.write(("\r\n".join(lines) + "\r\n\r\n{}").encode())
        answer = await asyncio.wait_for(read_message(reader), 5.0)
        took_ms = (record.now_s() - sent_s) * 1_000.0
        status = int(answer[0].split(" ")[1]) if answer else 0
        text = f"status {status}" if status else "the channel closes without an answer"
        record.write(f"{attempt} sent at {sent_s:.3f}: {text} after {took_ms:.0f} ms")
        ended.append((attempt, status, took_ms))
        if not answer or answer[1].get("connection", "").lower() == "close":
            writer.close()
            writer = None


async def case(record: Record, folder, gateways):
    store = await Store().listen()
    services = [{"name": "order-book", "max_conns": 110}]

    def configure(version, timeout_ms):
        routes = [
            route("confirm", "non_idempotent", "order-book", timeout_ms=timeout_ms,
                  slo_ms=150)
        ]
        store.put("config", "main", configuration(version, routes, services))

    configure(1, TIMEOUT_MS)
    for number in range(WORKERS):
        name = f"book-{number}"
        await OrderWorker(store, name, "order-book", record, SLOTS).start()
    gateway = Gateway(folder, "edge-1", store)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(4.0)
    ended, until_s = [], record.now_s() + BEFORE_S + PLAY_S
    tasks = [
        asyncio.create_task(
            keep_asking(f"c{n}", gateway.front, record, until_s, ended)
        )
        for n in range(CLIENTS)
    ]
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        configure(7, SHORT_TIMEOUT_MS)
        record.write(f"version 7 lowers the time-out of the route to {SHORT_TIMEOUT_MS} ms")
    await asyncio.gather(*tasks)
    lost = [one for one, status, _ in ended if not status]
    lost_at_worker = [one for one in lost if one in passed_on]
    record.write(
        f"{len(ended)} requests, {len(lost)} channels closed without an answer, "
        f"{len(lost_at_worker)} of them after the request was passed on to a worker; 3 "
        "allowed"
    )
    return len(lost_at_worker) > 3


run(case, Path(__file__).resolve().parent)
