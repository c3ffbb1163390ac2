"""Test of a resumed run whose instance is lost while it is followed."""

import random
from types import SimpleNamespace

from acaciapier.configuration import EMPTY_STATE
from acaciapier.core.clock import TrioClock
from acaciapier.core.ids import PipelineName, RequestId, RunId, WorkspaceId
from acaciapier.entry.service import RequestService, ServiceParts
from acaciapier.pipeline import (
    CallerRequest,
    FinalEvent,
    RecordReader,
    RunIdentity,
    RunRecord,
)
from acaciapier.pipeline.models import PartEvent, ResetEvent
from acaciapier.settings.models import PathSettings

WHOLE = ["a ", "b ", "c "]


class LostPeer:
    """Sends two tokens, then is lost."""

    async def follow(self, record, holder):
        record.add_tokens(WHOLE[:2])
        return False


class WholeStream:
    """Reads the engine's stream from its start."""

    async def run(self, record, claim):
        record.add_tokens(WHOLE)
        record.finish(FinalEvent(outcome="done", count=record.count))


async def test_tokens_of_a_lost_follower_are_not_doubled(autojump_clock, nursery):
    clock = TrioClock()
    parts = ServiceParts(
        executor=None,
        resumer=WholeStream(),
        joiner=LostPeer(),
        configuration=lambda: EMPTY_STATE,
        claimed=None,
        metrics=None,
        clock=clock,
        random=random.Random(1),
        settings=PathSettings(),
    )
    service = RequestService(parts, nursery)
    request = CallerRequest(
        WorkspaceId("sales"), RequestId("r-1"), PipelineName("p"), None, 9
    )
    identity = RunIdentity(request.request_id, RunId("run-1"), 1)
    record = RunRecord(request, identity, clock)
    async with RecordReader(record, 1) as reader:
        claim = SimpleNamespace(instance="entry-1")
        await service._follow_or_resume(record, claim)
        events = await reader.next_events()
    assert record.final.count == len(WHOLE)
    assert any(isinstance(event, ResetEvent) for event in events)
    text = "".join(event.text for event in events if isinstance(event, PartEvent))
    assert text == "".join(WHOLE)
