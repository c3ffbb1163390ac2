"""Callers are told that a request has not run only if that is known."""

import pytest

from acaciapier_standins.platform.platform import configuration, route

from .support import SERVICES, deployment

PROMISES_NOT_RUN = {408, 421, 429, 503}


@pytest.mark.parametrize("status", sorted(PROMISES_NOT_RUN - {421}))
@pytest.mark.parametrize("name, service", [("confirm", "book"), ("chat", "model")])
async def test_a_promise_that_a_worker_did_not_make_is_not_passed_on(
    status, name, service
):
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"{service}-{number}"].faults.status = status
        answer = await world.caller().request(
            "POST", f"/{name}/1", b"{}", Attempt_Id="a1"
        )
        assert len(world.platform.run_log.runs_of("a1")) == 1
        assert answer.status == 502
        assert "server-seal" not in answer.headers


async def test_a_failure_of_a_worker_that_promises_nothing_is_passed_on():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.status = 500
        answer = await world.caller().request(
            "POST", "/confirm/1", b"{}", Attempt_Id="a1"
        )
        assert answer.status == 500
        assert answer.headers["server-seal"].startswith("seal-book-")


async def test_a_late_copy_of_a_refusal_is_not_taken_for_that_of_the_next_send():
    async with deployment() as world:
        once = route("once", "non_idempotent", "book", max_attempts=1)
        once["timeout_ms"] = 4_000
        world.platform.configure(configuration(2, [once], SERVICES))
        await world.until(
            lambda: world.gateways[0].catalogue.configuration.version == 2
        )
        world.platform.register("book-2", state="draining")
        await world.until(
            lambda: len(world.gateways[0].catalogue.workers_of("book")) == 1
        )
        worker = world.platform.workers["book-1"]
        worker.faults.refuse_first = 1
        worker.faults.late_copy_s = 0.5
        worker.faults.delay_s = 1.0
        answer = await world.caller().request("POST", "/once/1", b"{}", Attempt_Id="a1")
        runs = world.platform.run_log.runs_of("a1")
        assert len(runs) <= 1
        assert answer.status not in PROMISES_NOT_RUN or not runs
