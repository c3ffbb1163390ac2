"""Guards against a request that ends without an answer as two senders share its inputs.

The results of its stages are freed once a worker has begun its answer. A second sender,
which was started while that worker was silent, may just have got a slot by then.
"""

import pytest
import trio

from acaciapier_standins.platform.example import STAGES
from acaciapier_standins.platform.platform import route

from .support import deployment
from .test_answers_during_uploads import HOST, attempt_of, head_of, listen, read_head

EVENTS = [b"id: %d\ndata: part\n\n" % number for number in (1, 2, 3)]


@pytest.mark.parametrize("late", [False, True])
async def test_a_silent_worker_that_begins_keeps_its_request(late):
    routes = [route("staged", "streaming", "model", stages=STAGES, resumable=True)]
    begun = trio.Event()

    async def serve(stream) -> None:
        head = await read_head(stream)
        if not head.startswith(b"POST"):
            return
        await trio.sleep(1.2)
        kind = b"Content-Type: text/event-stream"
        await stream.send_all(head_of(attempt_of(head), b"200 OK", kind))
        begun.set()
        await trio.sleep(0.4)
        for event in EVENTS:
            await stream.send_all(event)

    async with deployment(routes=routes) as world, trio.open_nursery() as nursery:
        for name in ("model-1", "model-2"):
            port = await listen(nursery, serve)
            world.platform.register(name, addr=f"{HOST}:{port}")
        gateway = world.gateways[0]
        workers = gateway.catalogue.workers
        await world.until(lambda: workers["model-2"].port == port)
        acquire, permits = gateway.dispatch_client.acquire, []

        async def acquire_late(message):
            permit = await acquire(message)
            permits.append(permit.worker.id)
            if late and len(permits) == 2:
                # As if the dispatcher had answered just now.
                await begun.wait()
                await trio.sleep(0.1)
                permit.usable_until_s += 9.0
            return permit

        gateway.dispatch_client.acquire = acquire_late
        with trio.fail_after(8):
            answer = await world.caller().request(
                "POST",
                "/staged/1",
                b"{}",
                Attempt_Id="a1",
                Deadline_Ms="7000",
                Chunk_Count="1,1",
                Chunk_Key="k",
            )
        assert len(permits) == 2
        assert (answer.status, answer.complete) == (200, True)
        assert answer.body == b"".join(EVENTS)
        nursery.cancel_scope.cancel()
