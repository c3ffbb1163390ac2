"""Tests of draining an entry instance."""

import random

import pytest
import trio

from acaciapier.configuration import EMPTY_STATE
from acaciapier.core.clock import TrioClock
from acaciapier.core.ids import PipelineName, RequestId, RunId, WorkspaceId
from acaciapier.entry.joining import JoinServer
from acaciapier.entry.records import RecordKey
from acaciapier.entry.service import RequestService, ServiceDependencies
from acaciapier.pipeline import CallerRequest, FinalEvent, RunIdentity, RunRecord
from acaciapier.settings.models import PathSettings
from acaciapier.wire.messages.requests import JoinRun

KEY = RecordKey(WorkspaceId("sales"), RequestId("r-1"))


@pytest.fixture
async def service(nursery):
    dependencies = ServiceDependencies(
        executor=None,
        resumer=None,
        joiner=None,
        configuration=lambda: EMPTY_STATE,
        claimed=None,
        metrics=None,
        clock=TrioClock(),
        random=random.Random(1),
        settings=PathSettings(),
    )
    return RequestService(dependencies, nursery)


def open_record(service):
    request = CallerRequest(KEY.workspace, KEY.request_id, PipelineName("p"), None, 9)
    identity = RunIdentity(KEY.request_id, RunId("run-1"), 1)
    record = RunRecord(request, identity, TrioClock())
    service.records.add(KEY, record)
    return record


async def test_drain_waits_until_open_exchanges_end(autojump_clock, service, nursery):
    record = open_record(service)
    drained = trio.Event()

    async def drain():
        await service.drain(60_000)
        drained.set()

    with service.track_exchange():
        nursery.start_soon(drain)
        await trio.sleep(1)
        record.finish(FinalEvent(outcome="done"))
        service.records.end(KEY, keep=True)
        await trio.sleep(1)
        assert not drained.is_set()
    await trio.sleep(1)
    assert drained.is_set()


async def test_drain_cancels_running_requests_at_its_limit(autojump_clock, service):
    record = open_record(service)
    started_s = trio.current_time()
    await service.drain(3_000)
    assert trio.current_time() - started_s == pytest.approx(3.0)
    assert record.cancel_scope.cancel_called


async def test_drain_waits_for_peers_that_follow_a_run(
    autojump_clock, service, nursery
):
    record = open_record(service)
    server = JoinServer(service.find_for_peer, service.track_exchange)
    message = JoinRun("sales", "r-1", "p", b"null", 9, True, False)
    drained = trio.Event()

    async def drain():
        await service.drain(60_000)
        drained.set()

    record.finish(FinalEvent(outcome="done"))
    service.records.end(KEY, keep=True)
    events = server.serve("entry-2", message)
    await anext(events)
    nursery.start_soon(drain)
    await trio.sleep(1)
    assert not drained.is_set()
    await events.aclose()
    await trio.sleep(1)
    assert drained.is_set()
