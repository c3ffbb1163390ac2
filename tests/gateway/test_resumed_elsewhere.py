"""Resumed streams while routes, keys and ids of attempts change."""

from functools import partial

import pytest
import trio

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.models import ServiceName
from acaciapier.gateway.routing import FormerRoutes
from acaciapier.gateway.software_versions import RETENTION_MS
from acaciapier.gateway.version_assignment import VersionAssignment
from acaciapier.platform.configuration import decode_configuration
from acaciapier_standins.platform.platform import configuration, route

from .support import SERVICES, deployment
from .test_resumed_streams import (
    FIRST_EVENT,
    VERSIONS,
    mix_versions,
    take_one_event,
    version_of,
)

(MODEL,) = [service for service in SERVICES if service["name"] == "model"]
TWO_SERVICES = [*SERVICES, MODEL | {"name": "other"}]


def mail(*services: str, **fields):
    """Return a route for streams that may be resumed."""
    backends = [{"service": service, "weight": 1} for service in services]
    return route(
        "mail", "streaming", services[0], resumable=True, backends=backends, **fields
    )


async def add_other_service(world, version: str) -> None:
    for name in ("other-1", "other-2"):
        await world.platform.add_worker(name, "other", kind="stream", version=version)
    for gateway in world.gateways:
        await world.until(
            lambda gateway=gateway: (
                len(gateway.catalogue.workers_of(ServiceName("other"))) == 2
            )
        )


async def configure(world, version: int, *routes, **fields) -> None:
    world.platform.configure(configuration(version, [*routes], TWO_SERVICES, **fields))
    for gateway in world.gateways:
        await world.until(lambda gateway=gateway: gateway.catalogue.version == version)


async def resume(world, attempt: str, first: str | None, number: int = 0, **headers):
    """Resume a stream after its first event."""
    if first is not None:
        headers["Resumes"] = first
    with trio.fail_after(5):
        return await world.caller(number).request(
            "POST", "/mail/1", b"{}", Attempt_Id=attempt, Last_Event_Id="1", **headers
        )


def service_of(world, attempt: str) -> str:
    return world.platform.run_log.runs_of(attempt)[-1].worker.partition("-")[0]


async def test_a_stream_of_a_route_to_two_services_goes_on_at_the_one_that_began_it():
    async with deployment(gateways=3) as world:
        await add_other_service(world, "v1")
        await configure(world, 2, mail("model", "other"))
        used = set()
        for number in range(12):
            first, later = f"first-{number}", f"later-{number}"
            await take_one_event(world, first, number % 3)
            answer = await resume(world, later, first, (number + 1) % 3)
            assert answer.status == 200
            assert service_of(world, later) == service_of(world, first)
            used.add(service_of(world, first))
        assert used == {"model", "other"}
        answer = await resume(world, "unnamed", None)
        assert answer.status == 503


@pytest.mark.parametrize("named", ["named", "unnamed", "never_seen"])
@pytest.mark.parametrize("change", ["moved", "split"])
async def test_a_stream_does_not_go_on_at_another_service_of_its_route(change, named):
    async with deployment(gateways=2) as world:
        await add_other_service(world, "v9")
        await configure(world, 2, mail("model"))
        world.age_lists(RETENTION_MS / 1_000.0)
        await take_one_event(world, "first", 0)
        longer = mail("other", path_prefix="/mail/1/")
        if change == "moved":
            await configure(world, 3, mail("other"))
        else:
            await configure(world, 3, mail("model"), longer)
        path = "/mail/1" if change == "moved" else "/mail/1/x"
        headers = {"named": {"Resumes": "first"}, "never_seen": {"Resumes": "x"}}
        answer = await world.caller(1).request(
            "POST",
            path,
            b"{}",
            Attempt_Id="later",
            Last_Event_Id="1",
            **headers.get(named, {}),
        )
        assert answer.status == 503
        assert not world.platform.run_log.runs_of("later")


async def test_an_instance_that_started_after_a_route_moved_resumes_nowhere():
    async with deployment(gateways=2) as world:
        await add_other_service(world, "v9")
        await configure(world, 2, mail("model"))
        world.age_lists(RETENTION_MS / 1_000.0)
        await configure(world, 3, mail("other"))
        await world.add_gateway()
        for gateway in world.gateways:
            await world.until(lambda gateway=gateway: gateway.peers.live_count == 3)
            await world.until(
                lambda gateway=gateway: (
                    len(gateway.catalogue.workers_of(ServiceName("other"))) == 2
                )
            )
        answer = await resume(world, "later", None, 2)
        assert answer.status == 503
        assert not world.platform.run_log.runs_of("later")


async def test_an_instance_that_started_lately_concludes_from_what_others_know():
    async with deployment(gateways=2) as world:
        world.age_lists(RETENTION_MS / 1_000.0)
        later = await world.add_gateway()
        for gateway in world.gateways:
            await world.until(lambda gateway=gateway: gateway.peers.live_count == 3)
        await world.until(lambda: later.catalogue.complete)
        answer = await resume(world, "later", None, 2)
        assert (answer.status, answer.complete) == (200, True)


async def test_a_route_that_did_not_change_lets_a_version_be_concluded():
    async with deployment(gateways=2) as world:
        world.age_lists(RETENTION_MS / 1_000.0)
        await configure(world, 2, mail("model"), route("new", "idempotent", "book"))
        await configure(world, 3, mail("model"))
        answer = await resume(world, "later", None)
        assert (answer.status, answer.complete) == (200, True)
        assert FIRST_EVENT not in answer.body


async def test_a_stream_goes_on_when_its_workspaces_key_is_replaced():
    tenants = [{"name": "hotels", "api_keys": ["k1"]}]
    async with deployment(gateways=2, tenants=tenants) as world:
        await mix_versions(world)
        await take_one_event(world, "first", 0, Key="k1")
        tenants = [{"name": "hotels", "api_keys": ["k2"]}]
        await configure(world, 2, mail("model"), tenants=tenants)
        answer = await resume(world, "later", "first", 1, Key="k2")
        assert (answer.status, answer.complete) == (200, True)
        assert version_of(world, "later") == version_of(world, "first")
        assert (await resume(world, "later-2", "first", 1, Key="k1")).status == 401


@pytest.fixture
def free_choice(monkeypatch):
    """Begin streams at any version, as earlier builds do."""

    async def assign(self, service, attempt):
        return None

    monkeypatch.setattr(VersionAssignment, "assign", assign)


async def test_one_attempt_begins_at_one_version():
    """Guards against a version that does not follow from the attempt alone."""
    async with deployment(gateways=3) as world:
        await mix_versions(world)
        begun = set()
        for number in range(12):
            first = f"first-{number}"
            for gateway in range(3):
                await take_one_event(world, first, gateway)
            runs = world.platform.run_log.runs_of(first)
            versions = {VERSIONS[run.worker] for run in runs}
            assert len(versions) == 1
            begun |= versions
        assert len(begun) == 2


async def test_one_attempt_of_two_workspaces_is_two_streams(free_choice):
    tenants = [
        {"name": "hotels", "api_keys": ["k1"]},
        {"name": "trains", "api_keys": ["k2"]},
    ]
    async with deployment(gateways=3, tenants=tenants) as world:
        await mix_versions(world)
        differed = 0
        for number in range(10):
            first = f"first-{number}"
            async with trio.open_nursery() as callers:
                for gateway, key in enumerate(("k1", "k2")):
                    begin = partial(take_one_event, world, first, gateway, Key=key)
                    callers.start_soon(begin)
            versions = {
                {"hotels": "k1", "trains": "k2"}[run.headers["tenant"]]: VERSIONS[
                    run.worker
                ]
                for run in world.platform.run_log.runs_of(first)
            }
            differed += len(set(versions.values())) == 2
            for key in ("k1", "k2"):
                later = f"later-{number}-{key}"
                answer = await resume(world, later, first, 1, Key=key)
                assert (answer.status, answer.complete) == (200, True)
                assert version_of(world, later) == versions[key]
        assert differed > 0


async def test_an_attempt_that_began_two_streams_goes_on_at_neither_other_version(
    free_choice,
):
    async with deployment(gateways=3) as world:
        await mix_versions(world)
        outcomes = set()
        for number in range(12):
            first, later = f"first-{number}", f"later-{number}"
            if number % 2:
                await take_one_event(world, first, 0)
                await take_one_event(world, first, 1)
            else:
                async with trio.open_nursery() as callers:
                    for gateway in (0, 1):
                        callers.start_soon(take_one_event, world, first, gateway)
            runs = world.platform.run_log.runs_of(first)
            versions = {VERSIONS[run.worker] for run in runs}
            await trio.sleep(0.02)
            answer = await resume(world, later, first, 2)
            assert answer.status == (200 if len(versions) == 1 else 503)
            if answer.status == 200:
                assert {version_of(world, later)} == versions
            outcomes.add(answer.status)
        assert outcomes == {200, 503}


def routing(*routes):
    return decode_configuration(configuration(1, [*routes], TWO_SERVICES))


@pytest.mark.parametrize(
    ("before", "after", "former"),
    [
        ([mail("model")], [mail("other")], {"model"}),
        ([mail("model")], [mail("model", "other")], {"model"}),
        ([mail("model")], [mail("model"), mail("other", path_prefix="/mail/1/")], {}),
        ([mail("model"), mail("other", path_prefix="/mail/1/")], [mail("model")], {}),
        ([mail("model")], [mail("model", timeout_ms=9)], {}),
        ([mail("model")], [], {"model"}),
        ([], [mail("model")], {}),
    ],
)
def test_former_services_of_a_route_are_known_for_a_while(before, after, former):
    clock = ManualClock()
    routes = FormerRoutes(clock)
    routes.replace(routing(*before), routing(*after))
    host, target = "orders.example", "/mail/2/x?q=/mail/1/"
    assert routes.services(host, target, 5_000.0) == set(former)
    clock.advance(6.0)
    assert routes.services(host, target, 5_000.0) == set()
    assert routes.services(host, target, 7_000.0) == set(former)


def test_the_services_of_a_route_that_was_split_or_joined_are_known_for_a_while():
    whole, part = mail("model"), mail("other", path_prefix="/mail/1/")
    host, target = "ORDERS.example", "/mail/1/2"
    for before, after, former in (
        ([whole], [whole, part], {"model"}),
        ([whole, part], [whole], {"other"}),
    ):
        routes = FormerRoutes(ManualClock())
        routes.replace(routing(*before), routing(*after))
        assert routes.services(host, target, 5_000.0) == former
