"""Test of a resumed run whose instance becomes unreachable while it is followed.

Tokens copied from that instance must be discarded before the engine's stream is read
from its start, or the answer contains them twice.
"""

import random
from types import SimpleNamespace

from acaciapier.configuration import EMPTY_STATE
from acaciapier.core.clock import TrioClock
from acaciapier.core.ids import PipelineName, RequestId, RunId, WorkspaceId
from acaciapier.entry.service import RequestService, ServiceDependencies
from acaciapier.pipeline import (
    CallerRequest,
    FinalEvent,
    RecordReader,
    RunIdentity,
    RunRecord,
)
from acaciapier.pipeline.models import PartEvent, ResetEvent
from acaciapier.settings.models import PathSettings

ALL_TOKENS = ["a ", "b ", "c "]


class UnreachablePeer:
    """Delivers two tokens, then becomes unreachable."""

    async def follow(self, record, holder):
        record.add_tokens(ALL_TOKENS[:2])
        return False


class CompleteStream:
    """Delivers all tokens of the engine's stream."""

    async def run(self, record, payload):
        record.add_tokens(ALL_TOKENS)
        record.finish(FinalEvent(outcome="done", count=record.count))


async def test_tokens_from_an_unreachable_instance_are_not_duplicated(
    autojump_clock, nursery
):
    clock = TrioClock()
    dependencies = ServiceDependencies(
        executor=None,
        resumer=CompleteStream(),
        joiner=UnreachablePeer(),
        configuration=lambda: EMPTY_STATE,
        claimed=None,
        metrics=None,
        clock=clock,
        random=random.Random(1),
        settings=PathSettings(),
    )
    service = RequestService(dependencies, nursery)
    request = CallerRequest(
        WorkspaceId("sales"), RequestId("r-1"), PipelineName("p"), None, 9
    )
    identity = RunIdentity(request.request_id, RunId("run-1"), 1)
    record = RunRecord(request, identity, clock)
    async with RecordReader(record, 1) as reader:
        payload = SimpleNamespace(instance="entry-1")
        await service._follow_or_resume(record, payload)
        events = await reader.next_events()
    assert record.final.count == len(ALL_TOKENS)
    assert any(isinstance(event, ResetEvent) for event in events)
    text = "".join(event.text for event in events if isinstance(event, PartEvent))
    assert text == "".join(ALL_TOKENS)
