"""Gateways that lose their links to all workers, beside others that keep them."""

from collections import Counter
from contextlib import asynccontextmanager

import pytest
import trio

from acaciapier.gateway import instance as gateway_instance
from acaciapier.gateway.connection_pool import WorkerConnectionPool
from acaciapier.http.client import ConnectFailed

from .support import deployment

GATEWAYS, CUT_OFF = 5, 3
PERIOD_S, CUT_S = 0.15, 3.0


class CuttablePool(WorkerConnectionPool):
    """Pool that can be told to reach no worker."""

    made: list["CuttablePool"]
    cut = False
    connect_s = 0.0

    def __init__(self, *args):
        super().__init__(*args)
        self.made.append(self)

    @asynccontextmanager
    async def acquire(self, *args, **options):
        if self.cut:
            await trio.sleep(self.connect_s)
            raise ConnectFailed("cut off")
        async with super().acquire(*args, **options) as connection:
            yield connection


@pytest.mark.parametrize("connect_s", [0.002, 0.4])
@pytest.mark.parametrize("path", ["/lookup/1", "/confirm/1"])
async def test_gateways_serve_while_others_are_cut_off(monkeypatch, path, connect_s):
    """Guards against cut-off gateways that take the workers from all others."""
    pools: list[CuttablePool] = []
    monkeypatch.setattr(CuttablePool, "made", pools, raising=False)
    monkeypatch.setattr(gateway_instance, "WorkerConnectionPool", CuttablePool)
    answers: dict[int, list[int]] = {number: [] for number in range(GATEWAYS)}

    async def send(number: int, name: str) -> None:
        caller = world.caller(number)
        answer = await caller.request("GET", path, Attempt_Id=name, Deadline_Ms="2000")
        await caller.aclose()
        answers[number].append(answer.status)

    async def send_steadily(nursery) -> None:
        end_s = trio.current_time() + CUT_S
        count = 0
        while trio.current_time() < end_s:
            count += 1
            for number in range(GATEWAYS):
                nursery.start_soon(send, number, f"{number}-{count}")
            await trio.sleep(PERIOD_S)

    async with deployment(GATEWAYS) as world:
        for pool in pools[:CUT_OFF]:
            pool.cut, pool.connect_s = True, connect_s
        async with trio.open_nursery() as nursery:
            await send_steadily(nursery)
        sound = [
            status for number in range(CUT_OFF, GATEWAYS) for status in answers[number]
        ]
        assert Counter(sound) == {200: len(sound)}
