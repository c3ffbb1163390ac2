"""The status shown to operators for an instance that does not answer."""

from types import SimpleNamespace

import pytest

from acaciapier.admin.controls import MemberStatus
from acaciapier.app.node import DIGEST_BY_FRESHNESS
from acaciapier.configuration.replica import Freshness
from acaciapier.core.ids import InstanceId
from acaciapier.exceptions import PeerUnavailable
from acaciapier.membership import Member
from acaciapier.wire.messages.operations import StatusAnswer

OWN, OTHER = InstanceId("admin-1"), InstanceId("entry-1")


class Network:
    """Answers calls with `answer`; unreachable while that is None."""

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
        "digest": DIGEST_BY_FRESHNESS[Freshness.STALE],
    }
    return Member(**fields)


@pytest.fixture
def fleet():
    """Return a node whose membership has one other instance, `member`."""
    fleet = SimpleNamespace(network=Network(), member=make_member(28))
    fleet.own_status = lambda: StatusAnswer(0, "current")
    fleet.identity = SimpleNamespace(instance_id=OWN)
    fleet.membership = SimpleNamespace(members=lambda: [fleet.member])
    return fleet


async def shown_number(status):
    (instance,) = await status.instances()
    return instance.configuration_number


async def test_last_answer_is_shown_if_membership_reports_a_lower_number(fleet):
    status = MemberStatus(fleet)
    fleet.network.answer = StatusAnswer(37, "current")
    assert await shown_number(status) == 37
    fleet.network.answer = None
    assert await shown_number(status) == 37


async def test_higher_number_from_membership_is_shown_without_an_answer(fleet):
    status = MemberStatus(fleet)
    fleet.network.answer = StatusAnswer(37, "current")
    await status.instances()
    fleet.network.answer = None
    fleet.member = make_member(40)
    assert await shown_number(status) == 40


async def test_answer_of_an_earlier_incarnation_is_discarded(fleet):
    status = MemberStatus(fleet)
    fleet.network.answer = StatusAnswer(37, "current")
    await status.instances()
    fleet.network.answer = None
    fleet.member = make_member(5, incarnation=2)
    assert await shown_number(status) == 5


async def test_freshness_without_an_answer_comes_from_membership(fleet):
    status = MemberStatus(fleet)
    fleet.network.answer = StatusAnswer(28, "current")
    await status.instances()
    fleet.network.answer = None
    (instance,) = await status.instances()
    assert instance.freshness == Freshness.STALE.value
