"""Workers that write an earlier refusal once more on a kept connection."""

import pytest
import trio

from .support import deployment

PROMISES_NOT_RUN = {408, 421, 429, 503}
LATE_S = 0.1


class RefusesFirst:
    """Answers the first request of each connection with a refusal, the others twice.

    Parameters
    ----------
    worker : StandInWorker
        Takes the requests that are not refused.
    handler : str
        Its method that answers them.
    status : int
        Status of the refusals.
    named : bool
        Whether a refusal names the attempt.
    late : bool
        Whether the copy of a refusal comes some time after the request.
    """

    def __init__(self, worker, handler: str, status: int, named: bool, late: bool):
        self._answer = getattr(worker, handler)
        self._status, self._named, self._late = status, named, late
        self._refusals: dict[object, bytes] = {}
        """By connection."""
        self.refused = 0
        setattr(worker, handler, self.answer)

    async def answer(self, *args) -> None:
        exchange = args[-1]
        headers = dict(args[0].headers) if hasattr(args[0], "headers") else args[0]
        attempt = headers.get("attempt-id") or headers.get(b"attempt-id", b"").decode()
        connection = exchange._connection
        if connection not in self._refusals:
            fields = [(b"Not-Run", b"1")]
            if self._named and attempt:
                fields.append((b"Attempt-Id", attempt.encode()))
            lines = [f"HTTP/1.1 {self._status} No".encode(), b"Content-Length: 0"]
            lines += [name + b": " + value for name, value in fields]
            self._refusals[connection] = b"\r\n".join([*lines, b"", b""])
            self.refused += 1
            await exchange.respond(self._status, fields)
            return
        if self._late:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_late, exchange, connection)
                await trio.sleep(2 * LATE_S)
                await self._answer(*args)
        else:
            await exchange.send_raw(self._refusals[connection])
            await self._answer(*args)

    async def _send_late(self, exchange, connection) -> None:
        await trio.sleep(LATE_S)
        await exchange.send_raw(self._refusals[connection])


async def call(world, path: str, attempt: str):
    caller = world.caller()
    answer = await caller.request(
        "GET" if path.startswith("/lookup") else "POST",
        path,
        b"{}",
        Attempt_Id=attempt,
        Chunk_Count="1,1",
        Chunk_Key="k",
    )
    await caller.aclose()
    return answer


@pytest.mark.parametrize(
    "status, named, late",
    [(503, False, False), (503, True, True), (400, False, True), (429, True, False)],
)
@pytest.mark.parametrize(
    "path, service",
    [("/confirm/1", "book"), ("/lookup/1", "book"), ("/chat/1", "model")],
)
async def test_a_copy_of_a_refusal_is_not_taken_for_that_of_a_later_request(
    path, service, status, named, late
):
    async with deployment() as world:
        worker = world.platform.workers[f"{service}-1"]
        world.platform.register(f"{service}-2", state="draining")
        await world.until(
            lambda: len(world.gateways[0].catalogue.workers_of(service)) == 1
        )
        refusing = RefusesFirst(worker, "_run_request", status, named, late)
        for number in range(4):
            answer = await call(world, path, f"a{number}")
            runs = world.platform.run_log.runs_of(f"a{number}")
            assert len(runs) <= 1
            assert not runs or answer.status == 200
        assert refusing.refused


@pytest.mark.parametrize("late", [False, True])
async def test_a_copy_of_a_refusal_of_a_stage_call_fails_no_later_call(late):
    async with deployment() as world:
        refusing = []
        for name in ("encode-1", "encode-2"):
            worker = world.platform.workers[name]
            refusing.append(RefusesFirst(worker, "_run_pieces", 503, False, late))
        answers = [await call(world, "/staged/1", f"a{number}") for number in range(6)]
        assert sum(one.refused for one in refusing)
        pieces = world.platform.run_log.pieces
        made = [count for (_, stage, _), count in pieces.items() if stage == 0]
        assert set(made) <= {1}
        assert all(
            answer.status == 200
            for number, answer in enumerate(answers)
            if pieces.get((f"a{number}", 0, 0))
        )


async def test_a_copy_of_a_refused_report_is_not_taken_for_the_refusal_of_a_request():
    async with deployment() as world:
        worker = world.platform.workers["model-1"]
        world.platform.register("model-2", state="draining")
        gateway = world.gateways[0]
        await world.until(lambda: len(gateway.catalogue.workers_of("model")) == 1)
        refusal = b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        refused, run = set(), worker._run_request

        async def refuse_report(headers, exchange) -> None:
            refused.add(exchange._connection)
            await exchange.respond(503, [(b"Not-Run", b"1")])

        async def run_after_copy(request, headers, exchange) -> None:
            if exchange._connection in refused:
                await exchange.send_raw(refusal)
            await run(request, headers, exchange)

        worker._report, worker._run_request = refuse_report, run_after_copy
        gateway.relay._workers._checked_connections._needs_check = lambda *_: True
        answers = [await call(world, "/mail/1", f"a{number}") for number in range(3)]
        assert refused
        for number, answer in enumerate(answers):
            runs = world.platform.run_log.runs_of(f"a{number}")
            assert not runs or answer.status == 200
