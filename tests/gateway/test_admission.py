"""Requests that wait before their stages get an answer, whatever happens."""

import trio
import trio.testing

from acaciapier.core.clock import ManualClock
from acaciapier.core.ids import InstanceId
from acaciapier.gateway.dispatch.admission import StageAdmission
from acaciapier.gateway.supervision import TaskSupervisor
from acaciapier.wire.messages.gateway import EnterStages, StagesEntered, WorkRefused

OWNER = InstanceId("edge-2")


def question(attempt: str, **fields) -> EnterStages:
    known = {
        "service": "portal",
        "attempt": attempt,
        "stage": 2,
        "count": 10,
        "due_ms": 1_000.0,
        "expires_ms": 4_000.0,
        "average_ms": 500.0,
        "priority": 0,
        "route_priority": 0,
        "fingerprint": attempt,
    }
    return EnterStages(**(known | fields))


class Asked:
    """Questions to an admission and their answers."""

    def __init__(self, nursery: trio.Nursery):
        self.clock = ManualClock()
        self.told: list[str] = []
        self.admission = StageAdmission(
            "portal",
            lambda: 0.1,
            self.clock,
            lambda kind, **fields: self.told.append(kind),
            TaskSupervisor(nursery, lambda error: self.told.append(repr(error))),
        )
        self.answers: dict[str, object] = {}
        self._nursery = nursery

    async def ask(self, *questions: EnterStages) -> None:
        for one in questions:
            self._nursery.start_soon(self._ask, one)
        await trio.testing.wait_all_tasks_blocked()

    async def _ask(self, one: EnterStages) -> None:
        self.answers[one.attempt] = await self.admission.enter(OWNER, one)

    def entered(self) -> set[str]:
        return {
            name
            for name, answer in self.answers.items()
            if isinstance(answer, StagesEntered)
        }

    def causes(self) -> set[str]:
        return {
            answer.cause
            for answer in self.answers.values()
            if isinstance(answer, WorkRefused)
        }


async def ask_many(nursery: trio.Nursery) -> Asked:
    """Ask until three requests wait."""
    asked = Asked(nursery)
    await asked.ask(*(question(f"a{number}") for number in range(12)))
    assert len(asked.entered()) == 9
    return asked


async def test_a_request_that_is_given_up_makes_room_for_another():
    async with trio.open_nursery() as nursery:
        asked = await ask_many(nursery)
        begun = sorted(asked.entered())[0]
        asked.admission.remove(begun)
        await trio.testing.wait_all_tasks_blocked()
        assert len(asked.entered()) == 10
        nursery.cancel_scope.cancel()


async def test_a_waiting_request_that_is_given_up_is_answered():
    async with trio.open_nursery() as nursery:
        asked = await ask_many(nursery)
        waiting = {f"a{n}" for n in range(12)} - asked.entered()
        for attempt in waiting:
            asked.admission.remove(attempt)
        await trio.testing.wait_all_tasks_blocked()
        assert len(asked.answers) == 12
        assert asked.causes() == {"cancelled"}
        nursery.cancel_scope.cancel()


async def test_waiting_requests_go_to_the_next_dispatcher():
    async with trio.open_nursery() as nursery:
        asked = await ask_many(nursery)
        asked.admission.hand_over("handed_over")
        await trio.testing.wait_all_tasks_blocked()
        assert len(asked.answers) == 12
        assert asked.causes() == {"handed_over"}
        nursery.cancel_scope.cancel()


async def test_requests_of_an_instance_that_went_down_are_dropped():
    async with trio.open_nursery() as nursery:
        asked = await ask_many(nursery)
        asked.admission.remove_owner(OWNER)
        await trio.testing.wait_all_tasks_blocked()
        assert asked.causes() == {"cancelled"}
        await asked.ask(question("b"))
        assert "b" in asked.entered()
        nursery.cancel_scope.cancel()


async def test_hopeless_requests_are_told_when_to_come_back():
    async with trio.open_nursery() as nursery:
        asked = await ask_many(nursery)
        hopeless = [question(f"h{n}", due_ms=100.0, expires_ms=300.0) for n in (1, 2)]
        await asked.ask(*hopeless)
        await trio.sleep(0.1)
        answers = [asked.answers[one.attempt] for one in hopeless]
        assert all(one.cause == "overload" for one in answers)
        assert all(one.retry_after_ms > 0 for one in answers)
        assert "chain_load" in asked.told
        nursery.cancel_scope.cancel()
