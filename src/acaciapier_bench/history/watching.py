"""Watches the numbers of instances, and reads the log at the end of a run."""

import time

import trio

from acaciapier.admin.bodies import ChangesBody, ObjectsBody, StatusBody
from acaciapier.objects import Change

from ..deployment import Deployment, DeploymentError, Member
from .operator_records import NumberRecord
from .racing import AdminCaller

POLL_S = 0.1
PAGE = 200
READ_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 30.0


class NumberWatcher:
    """Records the numbers of the entries, and of the instances that are asked.

    Parameters
    ----------
    deployment : Deployment
        The processes.
    caller : AdminCaller
        Calls the administration instances.
    """

    def __init__(self, deployment: Deployment, caller: AdminCaller):
        self.records: list[NumberRecord] = []
        self._deployment = deployment
        self._caller = caller

    async def run(self) -> None:
        """Watch through every administration instance until cancelled."""
        async with trio.open_nursery() as nursery:
            for member in self._deployment.admins:
                nursery.start_soon(self._watch_through, member)

    async def wait_for(self, number: int, start_s: float) -> float | None:
        """Return the time from `start_s` until all entries had `number`.

        In milliseconds; None if some entry has not reached it in
        `SETTLE_TIMEOUT_S`.
        """
        wanted = {member.name for member in self._deployment.entries}
        with trio.move_on_after(SETTLE_TIMEOUT_S):
            while True:
                for member in self._deployment.admins:
                    shown = await self._look(member)
                    reached = {name for name, one in shown.items() if one >= number}
                    if wanted <= reached:
                        return (trio.current_time() - start_s) * 1000
                await trio.sleep(POLL_S)
        return None

    async def _watch_through(self, member: Member) -> None:
        while True:
            await self._look(member)
            await trio.sleep(POLL_S)

    async def _look(self, source: Member) -> dict[str, int]:
        """Record one status; only of processes that lived during the whole call."""
        before = self._processes()
        status = await self._caller.get(source, "/v1/status", StatusBody)
        if status is None:
            return {}
        after = self._processes()
        at_ms = time.time() * 1000
        for one in status.instances:
            names = {source.name, one.instance}
            if one.instance not in self._watched(source):
                continue
            if any(before[name] != after[name] for name in names):
                continue
            self.records.append(
                NumberRecord(
                    source=source.name,
                    source_process=after[source.name],
                    instance=one.instance,
                    process=after[one.instance],
                    number=one.configuration_number,
                    at_ms=at_ms,
                )
            )
        return {one.instance: one.configuration_number for one in status.instances}

    def _watched(self, source: Member) -> set[str]:
        """Return the entries, which are never restarted, and the source itself."""
        return {member.name for member in self._deployment.entries} | {source.name}

    def _processes(self) -> dict[str, int]:
        return {
            member.name: member.process.pid
            for member in self._deployment.members.values()
        }


async def read_log(caller: AdminCaller, admins: list[Member]) -> list[Change]:
    """Return all accepted changes, oldest first."""
    changes: list[Change] = []
    query = f"limit={PAGE}"
    while True:
        page = await _read(caller, admins, f"/v1/changes?{query}", ChangesBody)
        changes += page.changes
        if not page.changes or changes[-1].number == 1:
            return changes[::-1]
        query = f"limit={PAGE}&before={changes[-1].number}"


async def read_objects(caller: AdminCaller, admins: list[Member]) -> ObjectsBody:
    """Return the objects in force, as read from the store."""
    return await _read(caller, admins, "/v1/objects", ObjectsBody)


async def _read(caller: AdminCaller, admins: list[Member], path: str, type_: type):
    """Read from any administration instance, again until one answers.

    Raises
    ------
    DeploymentError
        If none answers in `READ_TIMEOUT_S`.
    """
    with trio.move_on_after(READ_TIMEOUT_S):
        while True:
            for member in admins:
                found = await caller.get(member, path, type_)
                if found is not None and getattr(found, "from_store", True):
                    return found
            await trio.sleep(POLL_S)
    raise DeploymentError(f"no administration instance answers {path}")
