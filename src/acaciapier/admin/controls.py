"""Status, drains, releases and costs of the fleet, as the admin API needs them."""

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
COST_WINDOW_HOURS = 24
STATUS_TIMEOUT_MS = 500.0
MAX_QUERIED_MEMBERS = 64
DRAIN_TIMEOUT_MS = 2_000.0
AUTHOR = "operator"


class MemberStatus:
    """Status of the instances.

    In a small fleet, each member is queried for its status. In a large fleet, or if a
    member does not answer, the status is taken from its membership record. The record
    may lag behind an earlier answer, so the higher of the two configuration numbers is
    reported.
    """

    def __init__(self, node: FleetNode):
        self._node = node
        self._answered_numbers: dict[tuple[InstanceId, Incarnation], int] = {}

    async def instances(self) -> list[InstanceStatus]:
        """Return the status of each running instance, ordered by id."""
        members = self._node.membership.members()
        self._remove_departed(members)
        answers: dict[InstanceId, InstanceStatus] = {}
        if len(members) <= MAX_QUERIED_MEMBERS:
            async with trio.open_nursery() as nursery:
                for member in members:
                    nursery.start_soon(self._query, member, answers)
        found = [
            answers.get(member.instance) or self._status_from_record(member)
            for member in members
        ]
        return sorted(found, key=lambda status: status.instance)

    def _remove_departed(self, members: Iterable[Member]) -> None:
        present = {_incarnation_of(member) for member in members}
        for key in self._answered_numbers.keys() - present:
            del self._answered_numbers[key]

    async def _query(
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
            self._answered_numbers[_incarnation_of(member)] = number
            answers[member.instance] = InstanceStatus(
                instance=member.instance,
                data_centre=member.data_centre,
                configuration_number=number,
                freshness=answer.freshness,
            )

    def _status_from_record(self, member: Member) -> InstanceStatus:
        answered_number = self._answered_numbers.get(_incarnation_of(member), 0)
        return InstanceStatus(
            instance=member.instance,
            data_centre=member.data_centre,
            configuration_number=max(member.configuration_number, answered_number),
            freshness=FRESHNESS_BY_DIGEST.get(member.digest, "unknown"),
        )


def _incarnation_of(member: Member) -> tuple[InstanceId, Incarnation]:
    return member.instance, member.incarnation


class FleetDrains:
    """Drains instances and targets."""

    def __init__(self, node: FleetNode):
        self._node = node

    async def drain(self, kind: str, identity: str) -> bool:
        """Start a drain; return False if there is no such instance or target.

        Also returns False if the instance does not acknowledge the drain.
        """
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
    """Releases blocked fingerprints and publishes each release to all instances."""

    def __init__(self, policy: PathPolicy, sharing: CrashRecordSharing):
        self._policy = policy
        self._sharing = sharing

    async def release(self, fingerprint: Fingerprint) -> bool:
        """Release a fingerprint; return False if it is not blocked."""
        if self._policy.blocked(fingerprint) is None:
            return False
        self._policy.release_fingerprint(fingerprint)
        self._sharing.publish_new()
        return True


class StoredCosts:
    """Costs of the last `COST_WINDOW_HOURS`, from the accounts in the object API."""

    def __init__(self, node: FleetNode, clock: Clock):
        self._node = node
        self._clock = clock

    async def costs(self, workspace: str | None) -> list[CostLine]:
        """Return the costs of one workspace, or of all if it is None."""
        hour = epoch_ms(self._clock.now()) // MS_PER_HOUR
        hours = range(hour - COST_WINDOW_HOURS + 1, hour + 1)
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
