"""The status that operators see, when an instance does not answer."""

from types import SimpleNamespace

import pytest

from acaciapier.admin.controls import MemberStatus
from acaciapier.app.node import DIGEST_OF_FRESHNESS
from acaciapier.configuration.replica import Freshness
from acaciapier.core.ids import InstanceId
from acaciapier.exceptions import PeerUnavailable
from acaciapier.membership import Member
from acaciapier.wire.messages.operations import StatusAnswer

OWN, OTHER = InstanceId("admin-1"), InstanceId("entry-1")


class Network:
    """Answers with `answer`, or not at all."""

    def __init__(self):
        self.answer = None

    async def call(self, instance, message, timeout_ms):
        if self.answer is None:
            raise PeerUnavailable(f"{instance} does not answer")
        return self.answer


def make_member(number, incarnation=1):
    fields = dict.fromkeys(Member.__dataclass_fields__)
    fields |= {
        "instance": OTHER,
        "incarnation": incarnation,
        "data_centre": "rn-a",
        "configuration_number": number,
        "digest": DIGEST_OF_FRESHNESS[Freshness.STALE],
    }
    return Member(**fields)


@pytest.fixture
def fleet():
    """Return a node that knows one other instance, as `told` by membership."""
    fleet = SimpleNamespace(network=Network(), told=make_member(28))
    fleet.own_status = lambda: StatusAnswer(0, "current")
    fleet.identity = SimpleNamespace(instance_id=OWN)
    fleet.membership = SimpleNamespace(members=lambda: [fleet.told])
    return fleet


async def shown_number(status):
    (one,) = await status.instances()
    return one.configuration_number


async def test_last_answer_is_shown_rather_than_older_word(fleet):
    status = MemberStatus(fleet)
    fleet.network.answer = StatusAnswer(37, "current")
    assert await shown_number(status) == 37
    fleet.network.answer = None
    assert await shown_number(status) == 37


async def test_newer_word_is_shown_without_an_answer(fleet):
    status = MemberStatus(fleet)
    fleet.network.answer = StatusAnswer(37, "current")
    await status.instances()
    fleet.network.answer = None
    fleet.told = make_member(40)
    assert await shown_number(status) == 40


async def test_answer_of_an_earlier_incarnation_is_forgotten(fleet):
    status = MemberStatus(fleet)
    fleet.network.answer = StatusAnswer(37, "current")
    await status.instances()
    fleet.network.answer = None
    fleet.told = make_member(5, incarnation=2)
    assert await shown_number(status) == 5


async def test_freshness_without_an_answer_is_what_membership_tells(fleet):
    status = MemberStatus(fleet)
    fleet.network.answer = StatusAnswer(28, "current")
    await status.instances()
    fleet.network.answer = None
    (one,) = await status.instances()
    assert one.freshness == Freshness.STALE.value
