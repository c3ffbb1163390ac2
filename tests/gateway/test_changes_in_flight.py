"""Changes of the configuration end no request in flight without a true answer."""

import copy

import pytest
import trio

from acaciapier_standins.platform.example import ROUTES, STAGES
from acaciapier_standins.platform.platform import configuration, route

from .support import SERVICES, Caller, deployment

REQUESTS = {
    "lookup": {},
    "confirm": {},
    "chat": {},
    "mail": {},
    "staged": {"Chunk_Count": "3,2", "Chunk_Key": "k1"},
}
EACH = 6
KEYS = [{"name": "hotels", "api_keys": ["k1", "k2"]}]
LIMITS = configuration(1, [], [])["limits"]


def small_services() -> list[dict]:
    """Return services with so few slots that requests wait."""
    services = copy.deepcopy(SERVICES)
    services[0]["max_conns"] = 2
    services[1]["engine"]["slots"] = 2
    return services


def all_routes(**fields) -> list[dict]:
    return [one | fields for one in ROUTES]


def without(*names: str) -> dict:
    return {"services": [one for one in small_services() if one["name"] not in names]}


CHANGES = {
    "no routes": {"routes": []},
    "no routes and services": {"routes": [], "services": []},
    "no services": {"services": []},
    "no book": without("book"),
    "no model": without("model"),
    "no encode": without("encode"),
    "no search": without("search"),
    "no stages": {"routes": [one | {"stages": []} for one in ROUTES]},
    "other stages": {
        "routes": [
            *ROUTES[:4],
            route("staged", "streaming", "model", stages=STAGES[:1]),
        ]
    },
    "stages without batches": {
        "services": [
            one for one in small_services() if one["name"] not in ("encode", "search")
        ]
        + [{"name": name, "max_conns": 100} for name in ("encode", "search")]
    },
    "moved": {
        "routes": [
            one | {"service": "model" if one["service"] == "book" else "book"}
            for one in ROUTES
        ]
    },
    "split": {
        "routes": [
            one
            | {
                "backends": [
                    {"service": "gone", "weight": 1.0},
                    {"service": one["service"], "weight": 1.0},
                ]
            }
            for one in ROUTES
        ]
    },
    "kinds swapped": {
        "routes": [
            one | {"kind": "streaming" if one["kind"] != "streaming" else "idempotent"}
            for one in ROUTES
        ]
    },
    "timeouts": {"routes": all_routes(timeout_ms=50, slo_ms=10)},
    "attempts": {"routes": all_routes(max_attempts=1, resumable=False)},
    "priorities": {"routes": all_routes(priority=3)},
    "one connection": {"services": [one | {"max_conns": 1} for one in SERVICES]},
    "no connection": {"services": [one | {"max_conns": 0} for one in SERVICES]},
    "no book, no engine": {"services": [{"name": "model"}, *small_services()[2:]]},
    "one batch": {
        "services": [
            one
            | (
                {"segments": one["segments"] | {"batch": 1}}
                if "segments" in one
                else {}
            )
            for one in small_services()
        ]
    },
    "other keys": {"tenants": [{"name": "trains", "api_keys": ["k9"]}]},
    "no keys": {"tenants": []},
    "limits": {
        "limits": {
            "max_header_bytes": 100,
            "max_body_bytes": 1,
            "header_timeout_ms": 10,
            "idle_timeout_ms": 10,
        }
    },
    "three hundred routes": {
        "routes": ROUTES
        + [route(f"new-{number}", "idempotent", "book") for number in range(300)]
    },
}

UNSERVED = {"moved", "kinds swapped"}
"""Changes after which no stand-in worker answers as a route's kind demands."""


def make(version: int, name: str | None) -> dict:
    changed = {"routes": ROUTES, "services": small_services(), "tenants": KEYS}
    changed |= CHANGES[name] if name is not None else {}
    return configuration(version, **changed)


async def put_in_force(world, version: int, name: str | None) -> None:
    world.platform.configure(make(version, name))
    for gateway in world.gateways:
        await world.until(lambda one=gateway: one.catalogue.version == version)


async def ask(caller: Caller, kind: str, attempt: str, answers: dict) -> None:
    method = "GET" if kind == "lookup" else "POST"
    body = b"" if kind == "lookup" else b"{}"
    answers[attempt] = await caller.request(
        method, f"/{kind}/1", body, Attempt_Id=attempt, Key="k1", **REQUESTS[kind]
    )


def check(world, answers: dict, internal: list) -> int:
    """Check that answers are whole and refusals true; return how many succeeded."""
    ran = {run.attempt for run in world.platform.run_log.runs}
    for attempt, answer in answers.items():
        assert answer.complete, (attempt, answer)
        assert answer.status in (200, 429, 503), (attempt, answer)
        assert answer.status == 200 or attempt not in ran, (attempt, answer)
    assert not internal
    return sum(answer.status == 200 for answer in answers.values())


@pytest.fixture
def internal(monkeypatch):
    """Return the unforeseen errors of all gateways."""
    lines = []

    def write(log, kind, /, **fields):
        if kind in ("internal_error", "request_internal"):
            lines.append(fields)

    monkeypatch.setattr("acaciapier.gateway.observing.StructuredLog.write", write)
    return lines


async def ask_all(
    world, nursery: trio.Nursery, answers: dict, prefix: str = ""
) -> None:
    """Send requests to all gateways, and wait until they are in flight."""
    for number in range(EACH):
        for kind in REQUESTS:
            caller = world.caller(number % len(world.gateways))
            attempt = f"{prefix}{kind}-{number}"
            nursery.start_soon(ask, caller, kind, attempt, answers)
    await world.until(
        lambda: (
            len(answers) + sum(one.relay.in_flight for one in world.gateways)
            >= EACH * len(REQUESTS)
        )
    )


@pytest.mark.parametrize("back", [False, True], ids=["stays", "and back"])
@pytest.mark.parametrize("name", CHANGES)
async def test_a_change_beside_requests_in_flight_loses_none(name, back, internal):
    async with deployment(gateways=2, tenants=KEYS) as world:
        await put_in_force(world, 2, None)
        for worker in world.platform.workers.values():
            worker.faults.delay_s = 0.15
        answers: dict = {}
        async with trio.open_nursery() as nursery:
            await ask_all(world, nursery, answers)
            await put_in_force(world, 3, name)
            if back:
                await trio.sleep(0.1)
                await put_in_force(world, 4, None)
        assert len(answers) == EACH * len(REQUESTS)
        check(world, answers, internal)


@pytest.mark.parametrize("late", [0, 1])
@pytest.mark.parametrize("name", CHANGES)
async def test_a_change_that_one_instance_gets_late_loses_no_request(
    name, late, internal
):
    async with deployment(gateways=2, tenants=KEYS) as world:
        await put_in_force(world, 2, None)
        for worker in world.platform.workers.values():
            worker.faults.delay_s = 0.1
        catalogue = world.gateways[late].catalogue
        apply, catalogue.update_configuration = (
            catalogue.update_configuration,
            lambda *args, **kwargs: False,
        )
        answers: dict = {}
        later: dict = {}
        async with trio.open_nursery() as nursery:
            await ask_all(world, nursery, answers)
            world.platform.configure(make(3, name))
            early = world.gateways[1 - late].catalogue
            await world.until(lambda: early.version == 3)
            for kind in REQUESTS if name not in UNSERVED else ():
                for number in (0, 1):
                    caller = world.caller(number)
                    attempt = f"later-{kind}-{number}"
                    nursery.start_soon(ask, caller, kind, attempt, later)
            await trio.sleep(0.3)
            assert catalogue.version == 2
            catalogue.update_configuration = apply
            apply(early.configuration_position, early.configuration_source, "a peer")
            assert catalogue.version == 3
        assert len(answers) == EACH * len(REQUESTS)
        check(world, answers, internal)
        for attempt, answer in later.items():
            if answer.status not in (401, 404, 413, 431, 504):
                check(world, {attempt: answer}, internal)
            assert answer.complete


@pytest.mark.parametrize(
    "name", ["no search", "no encode", "no services", "stages without batches"]
)
async def test_results_are_freed_whose_service_was_dropped(name, internal):
    async with deployment(tenants=KEYS) as world:
        await put_in_force(world, 2, None)
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.delay_s = 0.3
        answers: dict = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, world.caller(), "staged", "staged-0", answers)
            made = world.platform.run_log.pieces
            await world.until(lambda: len(made) == 5)
            await trio.sleep(0.05)
            await put_in_force(world, 3, name)
        check(world, answers, internal)
        await world.until(lambda: world.platform.run_log.freed == 5, 2.0)
