"""Stand-in workers tell their version, go on after an event, and fall silent."""

import trio

from acaciapier_standins.platform.platform import HOST, StandInPlatform
from acaciapier_standins.platform.workers import StandInWorker

HEAD = "POST /mail/1 HTTP/1.1\r\nHost: w\r\nAttempt-Id: a\r\nContent-Length: 0\r\n"


async def ask(worker: StandInWorker, headers: str = "") -> str:
    """Return all that a worker sends until it ends its answer."""
    host, _, port = worker.address.rpartition(":")
    data = b""
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(f"{HEAD}{headers}\r\n".encode())
        while not data.endswith(b"0\r\n\r\n"):
            data += await stream.receive_some(65_536)
    return data.decode()


async def started(nursery: trio.Nursery, **fields) -> StandInWorker:
    platform = StandInPlatform(nursery)
    await platform.start()
    return await platform.add_worker("w", "model", kind="stream", **fields)


async def test_events_tell_the_version_and_go_on_after_the_last_one():
    async with trio.open_nursery() as nursery:
        worker = await started(nursery, version="v7")
        assert worker.address.startswith(HOST)
        answer = await ask(worker, "Last-Event-Id: 2\r\n")
        assert "id: 2" not in answer
        for number in (3, 4):
            assert f"id: {number}\ndata: a {number} v7\n\n" in answer
        nursery.cancel_scope.cancel()


async def test_events_without_a_version_stay_as_they_were():
    async with trio.open_nursery() as nursery:
        answer = await ask(await started(nursery))
        assert all(f"id: {n}\ndata: a {n}\n\n" in answer for n in range(1, 5))
        nursery.cancel_scope.cancel()


async def test_a_worker_that_falls_silent_goes_on():
    async with trio.open_nursery() as nursery:
        worker = await started(nursery, gap_s=0.05)
        answers = []

        async def note_answer() -> None:
            answers.append(await ask(worker))

        nursery.start_soon(note_answer)
        await trio.sleep(0.08)
        worker.faults.silence = over = trio.Event()
        nursery.start_soon(note_answer)
        await trio.sleep(0.4)
        assert not answers
        worker.faults.silence = None
        over.set()
        with trio.fail_after(2.0):
            while len(answers) < 2:
                await trio.sleep(0.01)
        assert all("data: a 4\n\n" in answer for answer in answers)
        nursery.cancel_scope.cancel()
