"""The administration API over HTTP, also with concurrent operators."""

from contextlib import asynccontextmanager
from random import Random

import httpcore
import msgspec
import pytest
import trio

from acaciapier.admin import AdminApplication, FleetControls
from acaciapier.admin.bodies import CostLine, InstanceStatus
from acaciapier.configuration import ConfigurationLog, LogLimits
from acaciapier.configuration.state import token_digest
from acaciapier.core.clock import ManualClock, SystemClock
from acaciapier.http import HttpListener
from acaciapier.settings.models import ListenSettings, OperatorToken
from acaciapier.store import ObjectStore, StoreBudget
from acaciapier_standins import ObjectApiSettings, serve_standin
from configuration.fakes import FakeStore, pool_value

LIMITS = LogLimits(block_changes=4, snapshot_changes=16)
ROLES = ("viewer", "operator", "admin")
TOKENS = [
    OperatorToken(name=role, role=role, token_sha256=token_digest(f"test-{role}"))
    for role in ROLES
]
WORKSPACE = {"kind": "workspace", "name": "w", "token_sha256": ["a" * 64]}


class FakeControls:
    async def instances(self):
        return [InstanceStatus("i0", "one", 3, "current")]

    async def drain(self, kind, identity):
        return identity == "t0"

    async def release(self, fingerprint):
        return fingerprint == "f0"

    async def costs(self, workspace):
        return [CostLine("w", "p", "s", 1, 2.0, {"tokens": 3.0})]


class Client:
    """Calls one administration instance."""

    def __init__(self, url, role="admin"):
        self.url, self.role = url, role
        self.pool = httpcore.AsyncConnectionPool()

    async def call(self, method, path, body=None, raw=None, role=None):
        headers = {"authorization": f"Bearer test-{role or self.role}"}
        content = raw or (msgspec.json.encode(body) if body is not None else b"")
        answer = await self.pool.request(
            method, self.url + path, headers=headers, content=content
        )
        return answer.status, msgspec.json.decode(answer.content)

    async def change(self, patch_id, *edits, at_least_number=0, role=None):
        body = {
            "patch_id": patch_id,
            "edits": edits,
            "at_least_number": at_least_number,
        }
        return await self.call("POST", "/v1/changes", body, role=role)


def replace(version, value):
    return {
        "kind": value["kind"],
        "name": value["name"],
        "base_version": version,
        "operation": "replace",
        "value": value,
    }


def set_limit(version, limit):
    operations = [{"op": "replace", "path": "/max_outstanding", "value": limit}]
    return {
        "kind": "pool",
        "name": "a",
        "base_version": version,
        "operation": "patch",
        "operations": operations,
    }


@asynccontextmanager
async def serving(store, seed=0, rate_clock=None):
    log = ConfigurationLog(store, SystemClock(), Random(seed), LIMITS)
    fakes = FakeControls()
    controls = FleetControls(fakes, fakes, fakes, fakes)
    app = AdminApplication(log, TOKENS, rate_clock or SystemClock(), controls)
    async with trio.open_nursery() as nursery:
        listener = HttpListener(app, ListenSettings())
        url = await nursery.start(listener.run)
        client = Client(url)
        try:
            yield client
        finally:
            with trio.CancelScope(shield=True):
                await client.pool.aclose()
            nursery.cancel_scope.cancel()


async def test_objects_are_changed_read_compared_and_undone():
    async with serving(FakeStore()) as client:
        status, answer = await client.change("p1", replace(0, pool_value("a", 1)))
        assert (status, answer["number"], answer["resent"]) == (200, 1, False)
        assert (await client.change("p1", replace(0, pool_value("a", 1))))[1]["resent"]
        await client.change("p2", set_limit(1, 2))
        _, found = await client.call("GET", "/v1/objects/pool/a")
        assert (found["version"], found["value"]["max_outstanding"]) == (2, 2)
        _, old = await client.call("GET", "/v1/objects/pool/a?version=1")
        assert old["value"]["max_outstanding"] == 1
        _, diff = await client.call("GET", "/v1/objects/pool/a/diff")
        assert diff["operations"] == [
            {"op": "replace", "path": "/max_outstanding", "value": 2}
        ]
        status, undone = await client.call(
            "POST", "/v1/changes/2/undo", {"patch_id": "u"}
        )
        assert (status, undone["versions"][0]["version"]) == (200, 3)
        _, history = await client.call("GET", "/v1/objects/pool/a/history")
        assert [change["patch_id"] for change in history["changes"]] == [
            "u",
            "p2",
            "p1",
        ]
        assert {change["author"] for change in history["changes"]} == {"admin"}
        _, listed = await client.call("GET", "/v1/objects?kind=pool")
        assert [found["version"] for found in listed["objects"]] == [3]


async def test_refusals_have_a_status_and_list_every_problem():
    async with serving(FakeStore()) as client:
        await client.change("p1", replace(0, pool_value("a", 1)))
        status, conflict = await client.change("p2", set_limit(7, 1))
        assert (status, conflict["conflicts"][0]["present_version"]) == (409, 1)
        bad = pool_value("a") | {"serves": "x", "max_outstanding": 0}
        status, rejected = await client.change("p3", replace(1, bad))
        assert status == 422
        assert {finding["place"] for finding in rejected["findings"]} == {
            "pool/a.serves",
            "pool/a.max_outstanding",
        }
        for raw in (b"{", b"[]", b"[" * 9000, b'{"patch_id":1}', b"1" * 600_000):
            status, answer = await client.call("POST", "/v1/changes", raw=raw)
            assert (status in (400, 413), answer["error"] != "") == (True, True)
        big = pool_value("a") | {"max_outstanding": 2**70}
        assert (await client.change("p4", replace(1, big)))[0] == 422
        for path in ("/", "/v1/objects/pool/b", "/v1/objects/pool/a?version=9"):
            assert (await client.call("GET", path))[0] == 404
        assert (await client.call("GET", "/v1/changes?limit=-1"))[0] == 400


async def test_roles_limit_what_an_operator_may_do():
    async with serving(FakeStore()) as client:
        edit = replace(0, pool_value("a"))
        assert (await client.change("p1", edit, role="nobody"))[0] == 401
        assert (await client.change("p1", edit, role="viewer"))[0] == 403
        assert (await client.change("p1", edit, role="operator"))[0] == 200
        space = replace(0, WORKSPACE)
        assert (await client.change("p2", space, role="operator"))[0] == 403
        assert (await client.change("p2", space))[0] == 200
        for role, is_shown in (("viewer", False), ("admin", True)):
            for path in ("objects/workspace/w", "changes", "objects/workspace/w/diff"):
                _, answer = await client.call("GET", f"/v1/{path}", role=role)
                assert ("a" * 64 in str(answer)) == is_shown


async def test_fleet_status_costs_drains_and_releases():
    async with serving(FakeStore()) as client:
        _, status = await client.call("GET", "/v1/status")
        assert status["instances"][0]["configuration_number"] == 3
        _, costs = await client.call("GET", "/v1/costs")
        assert costs["lines"][0]["units"] == {"tokens": 3.0}
        for target, expected in (("t0", 200), ("t1", 404)):
            body = {"kind": "target", "id": target}
            assert (await client.call("POST", "/v1/drains", body))[0] == expected
        for fingerprint, expected in (("f0", 200), ("f1", 404)):
            body = {"fingerprint": fingerprint}
            assert (await client.call("POST", "/v1/releases", body))[0] == expected


async def test_objects_and_status_are_shown_while_the_store_is_down():
    store = FakeStore()
    async with serving(store) as client:
        store.is_down = True
        assert (await client.call("GET", "/v1/objects"))[0] == 503
        store.is_down = False
        await client.change("p1", replace(0, pool_value("a", 1)))
        store.is_down = True
        status, listed = await client.call("GET", "/v1/objects")
        assert (status, listed["from_store"], len(listed["objects"])) == (200, False, 1)
        _, found = await client.call("GET", "/v1/status")
        assert found["number"] == 3


async def test_calls_over_the_rate_limit_are_refused():
    clock = ManualClock()
    async with serving(FakeStore(), rate_clock=clock) as client:

        async def request_statuses(count):
            return [
                (await client.call("GET", "/v1/status", role="nobody"))[0]
                for _ in range(count)
            ]

        assert await request_statuses(120) == [401] * 100 + [429] * 20
        clock.advance(0.5)
        assert await request_statuses(12) == [401] * 10 + [429] * 2


async def raise_limit(client, operator, count, accepted):
    """Raise the pool's limit by one, `count` times.

    Like an operator, reads the limit again after a conflict and resends a change
    whose outcome is unknown.
    """
    for turn in range(count):
        patch_id = f"{operator}-{turn}"
        while patch_id not in accepted:
            status, found = await client.call("GET", "/v1/objects/pool/a")
            if status != 200:
                continue
            limit = found["value"]["max_outstanding"]
            edit = set_limit(found["version"], limit + 1)
            at_least_number = found["number"]
            status = 503
            while status == 503:
                status, answer = await client.change(
                    patch_id, edit, at_least_number=at_least_number
                )
                at_least_number = max(at_least_number, answer.get("at_least_number", 0))
            if status == 200:
                accepted[patch_id] = answer["number"]
            else:
                assert status == 409, answer


@pytest.mark.parametrize("lost_share", [0.0, 0.1])
async def test_no_change_of_concurrent_operators_is_lost_or_duplicated(
    lost_share, nursery
):
    bound = await nursery.start(serve_standin, ObjectApiSettings(latency_ms=0.5))
    budget = StoreBudget(rate_per_s=2_000, burst=200, timeout_ms=300)
    accepted = {}
    async with (
        ObjectStore(bound.url, budget, SystemClock(), Random(1)) as first_store,
        ObjectStore(bound.url, budget, SystemClock(), Random(2)) as second_store,
        serving(first_store, 1) as first,
        serving(second_store, 2) as second,
    ):
        await first.change("start", replace(0, pool_value("a", 1)))
        bound.standin.faults.change({"lost": {"share": lost_share}})
        async with trio.open_nursery() as operators:
            for index in range(4):
                client = (first, second)[index % 2]
                operators.start_soon(raise_limit, client, index, 8, accepted)
        bound.standin.faults.change({"reset": True})
        _, found = await second.call("GET", "/v1/objects/pool/a")
        _, history = await second.call("GET", "/v1/changes?limit=200")
    assert found["value"]["max_outstanding"] == 1 + 4 * 8
    order = [change["patch_id"] for change in history["changes"]][::-1]
    assert order[0] == "start" and len(order) == len(set(order)) == 33
    for patch_id, number in accepted.items():
        assert order[number - 1] == patch_id
    nursery.cancel_scope.cancel()
