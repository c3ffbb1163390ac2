"""Links between gateways and workers leave no way past them."""

import trio

from acaciapier_bench.soak.plan import SoakPlan
from acaciapier_bench.soak.proxy import HOST, Link
from acaciapier_bench.soak.run import Soak
from acaciapier_standins.platform.platform import StandInPlatform


async def test_a_worker_is_never_registered_with_an_address_past_its_link(tmp_path):
    async with trio.open_nursery() as nursery:
        soak = Soak(SoakPlan(seed=1), tmp_path)
        soak._nursery = nursery
        soak._platform = StandInPlatform(nursery)
        await soak._add_worker("model-1", "model", "stream")
        entries = [entry for entry, _ in soak._platform.store._since("servers", 0)]
        address = f"{HOST}:{soak._links['model-1'].port}"
        assert [entry["spec"]["addr"] for entry in entries] == [address]
        assert soak._platform.workers["model-1"].address == address
        nursery.cancel_scope.cancel()


async def test_a_reset_breaks_a_connection_that_is_being_opened(monkeypatch):
    opened = trio.Event()
    connect = trio.open_tcp_stream

    async def connect_slowly(*args):
        stream = await connect(*args)
        opened.set()
        await trio.sleep(0.05)
        return stream

    async def echo(stream: trio.SocketStream) -> None:
        async for data in stream:
            await stream.send_all(data)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, echo, 0)
        link = Link(listeners[0].socket.getsockname()[1])
        await nursery.start(link.run)
        monkeypatch.setattr(trio, "open_tcp_stream", connect_slowly)
        with trio.fail_after(2.0):
            client = await connect(HOST, link.port)
            await client.send_all(b"a")
            await opened.wait()
            link.reset_all()
            try:
                answer = await client.receive_some()
            except trio.BrokenResourceError:
                answer = b""
        assert answer == b""
        nursery.cancel_scope.cancel()
