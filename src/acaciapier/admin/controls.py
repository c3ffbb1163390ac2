"""What operators see of the running fleet, and what they do to it."""

from collections.abc import Iterable

import trio

from ..accounts import read_costs
from ..app.crash_records import CrashRecordSharing
from ..app.node import FRESHNESS_BY_DIGEST, FleetNode
from ..core.clock import Clock, epoch_ms
from ..core.ids import Fingerprint, Incarnation, InstanceId, TargetId
from ..exceptions import PeerUnavailable
from ..membership import Member
from ..policy import PathPolicy
from ..wire import Acknowledgement
from ..wire.messages.operations import DrainInstance, FetchStatus, StatusAnswer
from .bodies import CostLine, InstanceStatus

MS_PER_HOUR = 3_600_000
HOURS_SHOWN = 24
STATUS_TIMEOUT_MS = 500.0
MAX_MEMBERS_ASKED = 64
DRAIN_TIMEOUT_MS = 2_000.0
AUTHOR = "operator"


class MemberStatus:
    """Status of the instances.

    The members of a small fleet are asked; in a large one, and where there is no
    answer, what they last told about themselves is shown. That may lag behind an
    earlier answer, so the number shown is the higher of both.
    """

    def __init__(self, node: FleetNode):
        self._node = node
        self._answered: dict[tuple[InstanceId, Incarnation], int] = {}

    async def instances(self) -> list[InstanceStatus]:
        """Return the status of each running instance, ordered by name."""
        members = self._node.membership.members()
        self._forget_all_but(members)
        answers: dict[InstanceId, InstanceStatus] = {}
        if len(members) <= MAX_MEMBERS_ASKED:
            async with trio.open_nursery() as nursery:
                for member in members:
                    nursery.start_soon(self._ask, member, answers)
        found = [answers.get(one.instance) or self._as_told(one) for one in members]
        return sorted(found, key=lambda one: one.instance)

    def _forget_all_but(self, members: Iterable[Member]) -> None:
        present = {_incarnation_of(member) for member in members}
        for key in self._answered.keys() - present:
            del self._answered[key]

    async def _ask(
        self, member: Member, answers: dict[InstanceId, InstanceStatus]
    ) -> None:
        answer = self._node.own_status()
        if member.instance != self._node.identity.instance_id:
            try:
                answer = await self._node.network.call(
                    member.instance, FetchStatus(), STATUS_TIMEOUT_MS
                )
            except PeerUnavailable:
                return
        if isinstance(answer, StatusAnswer):
            number = answer.configuration_number
            self._answered[_incarnation_of(member)] = number
            answers[member.instance] = InstanceStatus(
                instance=member.instance,
                data_centre=member.data_centre,
                configuration_number=number,
                freshness=answer.freshness,
            )

    def _as_told(self, member: Member) -> InstanceStatus:
        answered = self._answered.get(_incarnation_of(member), 0)
        return InstanceStatus(
            instance=member.instance,
            data_centre=member.data_centre,
            configuration_number=max(member.configuration_number, answered),
            freshness=FRESHNESS_BY_DIGEST.get(member.digest, "unknown"),
        )


def _incarnation_of(member: Member) -> tuple[InstanceId, Incarnation]:
    return member.instance, member.incarnation


class FleetDrains:
    """Drains of instances and targets."""

    def __init__(self, node: FleetNode):
        self._node = node

    async def drain(self, kind: str, identity: str) -> bool:
        """Start a drain; False if there is nothing of that name."""
        if kind == "target":
            return self._drain_target(TargetId(identity))
        return await self._drain_instance(InstanceId(identity))

    def _drain_target(self, target: TargetId) -> bool:
        membership = self._node.membership
        record = membership.targets.get(target)
        if record is None:
            return False
        membership.record_target_report(target, record.incarnation, leaving=True)
        return True

    async def _drain_instance(self, instance: InstanceId) -> bool:
        members = {member.instance for member in self._node.membership.members()}
        if instance not in members:
            return False
        try:
            answer = await self._node.network.call(
                instance, DrainInstance(AUTHOR), DRAIN_TIMEOUT_MS
            )
        except PeerUnavailable:
            return False
        return isinstance(answer, Acknowledgement)


class QuarantineReleases:
    """Releases of blocked requests, told to all instances."""

    def __init__(self, policy: PathPolicy, sharing: CrashRecordSharing):
        self._policy = policy
        self._sharing = sharing

    async def release(self, fingerprint: Fingerprint) -> bool:
        """Release a fingerprint; False if it is not blocked."""
        if self._policy.blocked(fingerprint) is None:
            return False
        self._policy.release_fingerprint(fingerprint)
        self._sharing.publish_new()
        return True


class StoredCosts:
    """Costs of the last hours, from the accounts in the object API."""

    def __init__(self, node: FleetNode, clock: Clock):
        self._node = node
        self._clock = clock

    async def costs(self, workspace: str | None) -> list[CostLine]:
        """Return the costs of one workspace, or of all."""
        hour = epoch_ms(self._clock.now()) // MS_PER_HOUR
        hours = range(hour - HOURS_SHOWN + 1, hour + 1)
        table = await read_costs(self._node.store, hours, workspace)
        return [
            CostLine(
                workspace=entry.key.workspace,
                pipeline=entry.key.pipeline,
                stage=entry.key.stage,
                calls=entry.total.calls,
                service_ms=entry.total.service_ms,
                units=entry.total.units,
                share=f"{entry.key.attempt_class}/{entry.key.outcome_class}",
            )
            for entry in table.entries
        ]
