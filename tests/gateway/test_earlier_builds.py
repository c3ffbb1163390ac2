"""Instances of this build beside one of an earlier build, which keeps no records."""

import random
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from acaciapier.core.clock import SystemClock
from acaciapier.core.ids import InstanceId
from acaciapier.gateway.earlier_builds import EarlierBuilds
from acaciapier.gateway.models import PeerRecord
from acaciapier.platform.workers import PEER_KIND, encode_peer
from acaciapier.wire import FleetKeys, PeerIdentity, PeerNetwork
from acaciapier.wire.messages.gateway import Heartbeat, WorkerGranted
from acaciapier.wire.messages.streams import FindStream, StreamsBegun
from acaciapier_standins.platform.platform import HOST

from .support import ENVIRONMENT, deployment
from .test_instance_state import make_peers, record
from .test_version_kept import FOUR, list_versions

EARLIER = InstanceId("edge-9")
RECORDS_KEPT = Heartbeat(1, 1, 1, False, uptime_ms=60_000.0, keeps_stream_records=True)
SERVES_TUNNELS = Heartbeat(1, 1, 1, False, uptime_ms=60_000.0, serves_tunnels=True)
NEITHER = Heartbeat(1, 1, 1, False, uptime_ms=60_000.0)


class EarlierHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="Beat"):
    """A heartbeat as instances of fea0bcc send it."""

    configuration_revision: int = 1
    workers_revision: int = 1
    workers_digest: int = 0
    stopping: bool = False
    waits: tuple = ()
    follows_store: bool = False
    uptime_ms: float = 0.0
    configuration_term: int = 0
    workers_term: int = 0
    configuration_version: int = 0
    leaving: tuple = ()
    engine_times: tuple = ()
    part_crashes_digest: int = 0


class EarlierAcquireWorker(
    msgspec.Struct, frozen=True, array_like=True, tag="AcquireWorker"
):
    """A request for a slot as instances of fea0bcc send it."""

    service: str
    permit: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple = ()
    input_bytes: tuple = ()
    priority: int = 0
    value: float = 1.0
    due_ms: float = 500.0
    expires_ms: float = 500.0
    avoid: tuple = ()
    repeat: bool = False
    software_version: str | None = None
    limits: tuple = ()
    only_untried: bool = False


class EarlierInstance:
    """Plays an instance of fea0bcc beside the gateways of a deployment."""

    def __init__(self, world):
        self._world = world
        self._last = 0
        key = next(iter(ENVIRONMENT.values())).encode()
        self.network = PeerNetwork(
            PeerIdentity(EARLIER, 1, "zone-a", "region-1"),
            FleetKeys([key]),
            SystemClock(),
            random.Random(1),
        )
        self.network.register(Heartbeat, self._answer)
        self.unknown = []
        """Messages of later builds that were sent here."""
        for later in (StreamsBegun, FindStream):
            self.network.register(later, self._record_unknown)

    async def _answer(self, peer, heartbeat):
        return EarlierHeartbeat()

    async def _record_unknown(self, peer, message):
        self.unknown.append(message)

    async def join(self, nursery: trio.Nursery) -> None:
        """Serve, and be listed at all gateways."""
        port = await nursery.start(self.network.serve, HOST)
        own = PeerRecord(EARLIER, HOST, port, "zone-a", 1)
        self._world.platform.store.put(PEER_KIND, EARLIER, encode_peer(own))
        for gateway in self._world.gateways:
            control = gateway.settings.control
            self.network.add_addresses(
                {gateway.settings.instance: (control.host, control.port)}
            )
            await self._world.until(
                lambda gateway=gateway: EARLIER in gateway.peers.up_instances()
            )
            await self.network.call(
                gateway.settings.instance, EarlierHeartbeat(), 1_000.0
            )

    async def acquire(self, gateway, **fields) -> str:
        """Return the worker that a gateway grants to this instance."""
        self._last += 1
        message = EarlierAcquireWorker("model", f"{EARLIER}/{self._last}", **fields)
        answer = await self.network.call(gateway.settings.instance, message, 1_000.0)
        assert isinstance(answer, WorkerGranted)
        return answer.worker


async def versions_used(world, path: str) -> set[str]:
    """Return the versions of the workers that run several simultaneous streams."""
    callers = [world.caller() for _ in range(8)]
    for number, caller in enumerate(callers):
        await caller.send("POST", path, b"{}", Attempt_Id=f"a{number}")
    await world.until(lambda: len(world.platform.run_log.runs) == 8)
    return {FOUR[run.worker] for run in world.platform.run_log.runs}


@asynccontextmanager
async def beside_earlier_instance():
    async with deployment() as world, trio.open_nursery() as nursery:
        earlier = EarlierInstance(world)
        await earlier.join(nursery)
        yield world, earlier
        nursery.cancel_scope.cancel()


async def test_streams_that_callers_may_resume_keep_to_one_version():
    async with beside_earlier_instance() as (world, earlier):
        await list_versions(world, FOUR)
        (gateway,) = world.gateways
        granted = [await earlier.acquire(gateway) for _ in range(8)]
        assert {FOUR[name] for name in granted} == {"v1"}
        for number in range(4):
            caller = world.caller()
            await caller.request("POST", "/mail/1", b"{}", Attempt_Id=f"a{number}")
            (run,) = world.platform.run_log.runs_of(f"a{number}")
            assert FOUR[run.worker] == "v1"


async def test_a_version_that_an_earlier_instance_names_is_granted():
    async with beside_earlier_instance() as (world, earlier):
        await list_versions(world, FOUR)
        worker = await earlier.acquire(world.gateways[0], software_version="v2")
        assert FOUR[worker] == "v2"


async def test_an_instance_without_records_is_not_asked_to_keep_or_find_any(capsys):
    async with beside_earlier_instance() as (world, earlier):
        await list_versions(world, FOUR)
        caller = world.caller()
        await caller.request("POST", "/mail/1", b"{}", Attempt_Id="a1")
        refused = await caller.request(
            "POST", "/mail/1", b"{}", Attempt_Id="a2", Last_Event_Id="1", Resumes="a0"
        )
        assert refused.status == 503
        assert earlier.unknown == []
    assert "stream_version_not" not in capsys.readouterr().out


async def test_streams_that_nobody_resumes_use_all_versions():
    async with beside_earlier_instance() as (world, earlier):
        await list_versions(world, FOUR)
        await earlier.acquire(world.gateways[0])
        assert await versions_used(world, "/chat/1") == {"v1", "v2"}


async def test_all_versions_are_used_again_after_the_last_earlier_instance():
    async with beside_earlier_instance() as (world, earlier):
        await list_versions(world, FOUR)
        (gateway,) = world.gateways
        await earlier.acquire(gateway)
        world.platform.store.delete(PEER_KIND, EARLIER)
        await world.until(lambda: not gateway.peers.records)
        assert await versions_used(world, "/mail/1") == {"v1", "v2"}


def instances_without_records(records, heartbeats, then=None) -> set[str]:
    """Return what is known after heartbeats of edge-1, and then another list."""
    peers = make_peers(record("edge-0"))
    earlier = EarlierBuilds(peers)
    peers.set_records(records)
    for heartbeat in heartbeats:
        earlier.record_heartbeat(InstanceId("edge-1"), heartbeat)
    if then is not None:
        peers.set_records(then)
    return set(earlier.without_records())


@pytest.mark.parametrize(
    ("heartbeats", "kept"),
    [
        ([NEITHER], False),
        ([RECORDS_KEPT], True),
        ([SERVES_TUNNELS], True),
        ([NEITHER, SERVES_TUNNELS, NEITHER], True),
        ([NEITHER, RECORDS_KEPT], True),
        ([], True),
    ],
)
def test_a_peer_shows_by_its_heartbeats_whether_it_keeps_records(heartbeats, kept):
    records = [record("edge-0"), record("edge-1")]
    known = instances_without_records(records, heartbeats)
    assert known == (set() if kept else {"edge-1"})


def test_a_peer_that_is_not_listed_or_starts_again_is_not_known():
    records = [record("edge-1")]
    assert instances_without_records([], [NEITHER]) == set()
    assert instances_without_records(records, [NEITHER], []) == set()
    restarted = [PeerRecord("edge-1", HOST, 1, "a", 99)]
    assert instances_without_records(records, [NEITHER], restarted) == set()


def test_a_peer_that_returns_to_an_earlier_build_keeps_no_records_any_more():
    peers = make_peers(record("edge-0"))
    earlier = EarlierBuilds(peers)
    for started, heartbeat in enumerate([SERVES_TUNNELS, NEITHER]):
        peers.set_records([PeerRecord("edge-1", HOST, 1, "a", started)])
        earlier.record_heartbeat(InstanceId("edge-1"), heartbeat)
    assert set(earlier.without_records()) == {"edge-1"}
