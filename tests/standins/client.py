"""HTTP client based on httpcore for the tests of the stand-ins."""

from contextlib import asynccontextmanager

import httpcore
import msgspec
import trio

from acaciapier_standins import serve_standin


class Client:
    def __init__(self, url):
        self.url = url
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def call(self, method, path, body=None):
        content = msgspec.json.encode(body) if body is not None else b""
        answer = await self._pool.request(method, self.url + path, content=content)
        self.headers = dict(answer.headers)
        return answer.status, msgspec.json.decode(answer.content)

    async def get(self, path):
        return await self.call("GET", path)

    async def control(self, **faults):
        status, _ = await self.call("POST", "/control", faults)
        assert status == 200

    @asynccontextmanager
    async def events(self, method, path, body=None):
        content = msgspec.json.encode(body) if body is not None else b""
        async with self._pool.stream(
            method, self.url + path, content=content
        ) as answer:
            assert answer.status == 200
            yield events_of(answer)

    async def close(self):
        await self._pool.aclose()


async def events_of(answer):
    buffer = b""
    async for part in answer.aiter_stream():
        buffer += part
        while b"\n\n" in buffer:
            block, _, buffer = buffer.partition(b"\n\n")
            yield msgspec.json.decode(block.rpartition(b"data: ")[2])


@asynccontextmanager
async def serving(settings):
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(serve_standin, settings)
        client = Client(bound.url)
        client.standin = bound.standin
        yield client
        await client.close()
        nursery.cancel_scope.cancel()


def envelope(**changes):
    values = {
        "request_id": "request-1",
        "run_id": "run-1",
        "workspace": "bowls",
        "pipeline": "quotes",
        "stage": "first",
        "attempt": 1,
        "deadline_ms": 5_000,
        "priority": 0,
        "input": {"text": "a vent cone of aluminium"},
        "parameters": {},
    }
    return {**values, **changes}
