"""End-to-end tests of gateways with workers that speak the platform's protocol."""

import trio

from acaciapier.platform.configuration import OBJECT_KIND
from acaciapier_standins.platform.example import STAGES, services
from acaciapier_standins.platform.platform import configuration, route

from .support import ROUTES, SERVICES, Answer, Caller, deployment

EVENTS = b"".join(f"id: {n}\ndata: a1 {n}\n\n".encode() for n in range(1, 5))


async def request_staged_stream(caller: Caller, counts: str, **headers: str) -> Answer:
    """Request a stream with two stages; `counts` lists their numbers of pieces."""
    return await caller.request(
        "POST",
        "/staged/1",
        b"{}",
        Attempt_Id="a1",
        Chunk_Count=counts,
        Chunk_Key="k",
        **headers,
    )


async def test_a_plain_response_is_forwarded_unchanged():
    async with deployment() as world:
        caller = world.caller()
        answer = await caller.request("GET", "/lookup/7?x=%2F", Attempt_Id="a1")
        assert (answer.status, answer.complete) == (200, True)
        assert answer.body.endswith(b"did a1")
        assert answer.headers["server-seal"].startswith("seal-book-")
        (run,) = world.platform.run_log.runs_of("a1")
        assert run.path == "/lookup/7?x=%2F"
        assert run.headers["expect-instance"] == run.worker


async def test_reserved_headers_from_callers_are_not_forwarded():
    async with deployment() as world:
        sent = {"Tenant": "other", "Hold": "h", "Kv_From": "x", "Pin_Ms": "9"}
        await world.caller().request(
            "POST", "/confirm/1", b"{}", Attempt_Id="a1", **sent
        )
        (run,) = world.platform.run_log.runs_of("a1")
        assert not {"tenant", "hold", "kv-from", "pin-ms"} & run.headers.keys()
        assert run.body == b"{}"


async def test_a_stream_with_stages_is_forwarded_and_its_results_are_freed():
    async with deployment(gateways=2) as world:
        answer = await request_staged_stream(world.caller(), "2,3")
        assert (answer.status, answer.body) == (200, EVENTS)
        made = world.platform.run_log.pieces
        assert sorted(key[1:] for key in made) == [
            (0, 0),
            (0, 1),
            (1, 0),
            (1, 1),
            (1, 2),
        ]
        await world.until(lambda: world.platform.run_log.freed == 5)


async def test_a_resumable_stream_is_resumed_on_another_worker():
    async with deployment() as world:
        workers = [world.platform.workers[f"model-{n}"] for n in (1, 2)]
        for worker in workers:
            worker.faults.cut_after = 2
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        first = world.platform.run_log.runs[0].worker
        for worker in workers:
            if worker.name != first:
                worker.faults.cut_after = None
        answer = await caller.receive()
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)
        runs = world.platform.run_log.runs_of("a1")
        assert [run.headers.get("last-event-id") for run in runs] == [None, "2"]
        assert answer.headers["server-seal"] == f"seal-{first}"


async def test_a_resumed_stream_with_stages_gets_new_inputs():
    async with deployment() as world:
        digest = route("staged", "streaming", "model", stages=STAGES, resumable=True)
        world.platform.configure(configuration(2, [digest], SERVICES))
        await world.until(
            lambda: world.gateways[0].catalogue.configuration.version == 2
        )
        workers = [world.platform.workers[f"model-{n}"] for n in (1, 2)]
        for worker in workers:
            worker.faults.cut_after = 2
        caller = world.caller()
        await caller.send(
            "POST",
            "/staged/1",
            b"{}",
            Attempt_Id="a1",
            Chunk_Count="1,2",
            Chunk_Key="k",
        )
        await world.until(lambda: world.platform.run_log.runs)
        for worker in workers:
            if worker.name != world.platform.run_log.runs[0].worker:
                worker.faults.cut_after = None
        answer = await caller.receive()
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)
        assert len(world.platform.run_log.runs_of("a1")) == 2


async def test_a_stalled_resumable_stream_is_resumed_on_another_worker():
    async with deployment() as world:
        workers = [world.platform.workers[f"model-{n}"] for n in (1, 2)]
        for worker in workers:
            worker.faults.silent_after = 1
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        for worker in workers:
            if worker.name != world.platform.run_log.runs[0].worker:
                worker.faults.silent_after = None
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)


async def test_a_stream_that_may_not_run_again_has_no_idle_timeout():
    async with deployment() as world:
        once = route("once", "streaming", "model", resumable=True, max_attempts=1)
        once["timeout_ms"] = 4_000
        world.platform.configure(configuration(2, [once], SERVICES))
        await world.until(
            lambda: world.gateways[0].catalogue.configuration.version == 2
        )
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.pause_s = 1.3
        answer = await world.caller().request("POST", "/once/1", b"{}", Attempt_Id="a1")
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)


async def test_a_failed_stream_that_may_not_run_again_ends_incomplete():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.cut_after = 2
        answer = await world.caller().request("POST", "/chat/1", b"{}", Attempt_Id="a1")
        assert (answer.status, answer.complete) == (200, False)
        assert len(world.platform.run_log.runs_of("a1")) == 1


async def test_a_non_idempotent_request_is_not_retried_after_a_broken_response():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.cut_after = 0
        answer = await world.caller().request(
            "POST", "/confirm/1", b"{}", Attempt_Id="a1"
        )
        assert answer.status == 502
        assert "server-seal" not in answer.headers
        assert len(world.platform.run_log.runs_of("a1")) == 1


async def test_an_idempotent_request_is_retried_on_another_worker():
    async with deployment() as world:
        world.platform.workers["book-1"].faults.status = 500
        caller = world.caller()
        for number in range(6):
            answer = await caller.request("GET", "/lookup/1", Attempt_Id=f"a{number}")
            assert answer.status == 200
        assert any(run.worker == "book-1" for run in world.platform.run_log.runs)


async def test_a_request_that_a_worker_did_not_run_is_sent_to_another():
    async with deployment() as world:
        world.platform.workers["book-1"].faults.not_run = True
        caller = world.caller()
        for number in range(4):
            answer = await caller.request(
                "POST", "/confirm/1", b"{}", Attempt_Id=f"a{number}"
            )
            assert answer.status == 200
            assert len(world.platform.run_log.runs_of(f"a{number}")) == 1


async def test_a_refused_request_gets_retry_after_and_does_not_run():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.not_run = True
        answer = await world.caller().request(
            "POST", "/confirm/1", b"{}", Attempt_Id="a1"
        )
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) < 1
        assert not world.platform.run_log.runs


async def test_a_stream_that_starts_after_its_caller_abandons_it_is_refused():
    async with deployment() as world:
        slow = services(call_ms=1_200.0, item_ms=0.5)
        staged = ROUTES[-1] | {"timeout_ms": 9_000}
        world.platform.configure(configuration(2, [staged], slow))
        await world.until(
            lambda: world.gateways[0].catalogue.configuration.version == 2
        )
        with trio.fail_after(1.0):
            answer = await request_staged_stream(
                world.caller(), "1,1", Deadline_Ms="9000"
            )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not world.platform.run_log.pieces


async def test_an_extra_response_on_a_reused_connection_is_discarded():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.extra_answer = True
        caller = world.caller()
        for number in range(6):
            answer = await caller.request("GET", "/lookup/1", Attempt_Id=f"a{number}")
            assert answer.body.endswith(f"did a{number}".encode())


async def test_a_response_without_the_workers_seal_is_a_failure():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.unmarked = True
        answer = await world.caller().request(
            "POST", "/confirm/1", b"{}", Attempt_Id="a1"
        )
        assert answer.status == 502


async def test_a_disconnected_caller_cancels_its_request():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.mute = True
        caller = world.caller()
        await caller.send("POST", "/chat/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        left_s = trio.current_time()
        await caller.aclose()
        run = world.platform.run_log.runs[0]
        await world.until(lambda: run.ended_s is not None)
        assert run.ended_s - left_s < 0.5


async def test_a_request_over_its_routes_timeout_gets_a_final_response():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.mute = True
        start_s = trio.current_time()
        answer = await world.caller().request(
            "POST", "/confirm/1", b"{}", Attempt_Id="a1"
        )
        assert answer.status == 504
        assert 1.9 < trio.current_time() - start_s < 2.5


async def test_workers_receive_the_remaining_deadline():
    async with deployment() as world:
        await world.caller().request(
            "GET", "/lookup/1", Attempt_Id="a1", Deadline_Ms="700"
        )
        (run,) = world.platform.run_log.runs_of("a1")
        assert 500 < int(run.headers["deadline-ms"]) <= 700


async def test_keys_select_the_workspace_and_never_reach_a_worker():
    tenants = [{"name": "hotels", "api_keys": ["k1"]}]
    async with deployment(tenants=tenants) as world:
        caller = world.caller()
        assert (await caller.request("GET", "/lookup/1", Attempt_Id="a0")).status == 401
        refused = await caller.request("GET", "/lookup/1", Attempt_Id="a1", Key="k2")
        assert refused.status == 401
        answer = await caller.request("GET", "/lookup/1", Attempt_Id="a2", Key="k1")
        assert answer.status == 200
        (run,) = world.platform.run_log.runs
        assert run.headers["tenant"] == "hotels"
        assert "key" not in run.headers


async def test_an_unknown_route_is_not_found():
    async with deployment() as world:
        assert (await world.caller().request("GET", "/nowhere/1")).status == 404


async def test_a_new_configuration_takes_effect_on_all_instances():
    async with deployment(gateways=2) as world:
        new = route("new", "idempotent", "book")
        limits = {"max_header_bytes": 16_384, "max_body_bytes": 1_000_000}
        world.platform.configure(
            {"version": 4, "routes": [new], "services": SERVICES, "limits": limits}
        )
        for gateway in world.gateways:
            await world.until(
                lambda checked=gateway: checked.catalogue.configuration.version == 4
            )
        for number in (0, 1):
            caller = world.caller(number)
            assert (await caller.request("GET", "/new/1", Attempt_Id="a")).status == 200
            assert (await caller.request("GET", "/lookup/1")).status == 404


async def test_an_instance_without_the_store_learns_from_peers():
    async with deployment() as world:
        first = world.gateways[0]
        world.platform.store.faults.down = True
        control = first.settings.control
        late = await world.add_gateway(seeds=f"{control.host}:{control.port}")
        await world.until(lambda: late.catalogue.complete)
        answer = await world.caller(1).request("GET", "/lookup/1", Attempt_Id="a1")
        assert answer.status == 200


async def test_a_draining_worker_gets_no_more_requests():
    async with deployment(gateways=2) as world:
        world.platform.register("book-1", state="draining")
        for gateway in world.gateways:
            await world.until(
                lambda checked=gateway: len(checked.catalogue.workers_of("book")) == 1
            )
        for number in range(6):
            caller = world.caller(number % 2)
            await caller.request("GET", "/lookup/1", Attempt_Id=f"a{number}")
        assert {run.worker for run in world.platform.run_log.runs} == {"book-2"}


async def test_a_worker_at_a_reused_address_does_not_run_the_request():
    async with deployment() as world:
        world.platform.workers["book-1"].name = "other"
        caller = world.caller()
        for number in range(4):
            answer = await caller.request("GET", "/lookup/1", Attempt_Id=f"a{number}")
            assert answer.status == 200
        assert {run.worker for run in world.platform.run_log.runs} == {"book-2"}


async def test_malformed_store_entries_are_ignored():
    async with deployment() as world:
        world.platform.store.put("servers", "broken", {"service": 7})
        world.platform.store.put("servers", "odd", {"service": "book", "state": "new"})
        world.platform.store.put("config", "other", {"version": "x"})
        await trio.sleep(0.1)
        answer = await world.caller().request("GET", "/lookup/1", Attempt_Id="a1")
        assert answer.status == 200


async def test_requests_are_served_during_a_store_outage():
    async with deployment() as world:
        world.platform.store.faults.down = True
        caller = world.caller()
        for number in range(3):
            answer = await caller.request("GET", "/lookup/1", Attempt_Id=f"a{number}")
            assert answer.status == 200
            await trio.sleep(0.2)


async def test_objects_are_listed_again_after_the_history_is_compacted():
    async with deployment() as world:
        world.platform.store.compact()
        await world.platform.add_worker("book-3", "book")
        await world.until(lambda: len(world.gateways[0].catalogue.workers) == 9)


async def test_a_failed_dispatcher_is_replaced():
    async with deployment(gateways=3) as world:
        failed = world.gateways[0].dispatch_client.dispatcher_of("encode")
        index = [each.settings.instance for each in world.gateways].index(failed)
        requester = (index + 1) % 3
        world.gateways[index].network._nursery.cancel_scope.cancel()
        answer = await request_staged_stream(world.caller(requester), "1,1")
        assert (answer.status, answer.body) == (200, EVENTS)


async def test_a_stopping_instance_finishes_requests_in_flight_and_closes():
    async with deployment() as world:
        world.platform.workers["model-1"].faults.delay_s = 1.0
        world.platform.workers["model-2"].faults.delay_s = 1.0
        busy, late = world.caller(), world.caller()
        assert (await late.request("GET", "/lookup/1", Attempt_Id="a0")).status == 200
        await busy.send("POST", "/chat/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: len(world.platform.run_log.runs) == 2)
        gateway = world.gateways[0]
        gateway.app.stop()
        answer = await busy.receive()
        assert (answer.status, answer.complete) == (200, True)
        assert answer.headers.get("connection") != "keep-alive"
        await world.until(lambda: gateway.relay.closing, 6.0)


async def test_oversized_input_gets_413_or_431():
    async with deployment() as world:
        caller = world.caller()
        answer = await caller.request("POST", "/confirm/1", b"x" * 1_000_001)
        assert answer.status == 413
        caller = world.caller()
        answer = await caller.request("GET", "/lookup/1", Filler="x" * 20_000)
        assert answer.status == 431


async def test_a_stopping_instance_without_peers_still_dispatches():
    async with deployment() as world:
        world.gateways[0].app.stop()
        await world.until(lambda: world.gateways[0].dispatcher.stopping)
        answer = await request_staged_stream(world.caller(), "1,1")
        assert (answer.status, answer.body) == (200, EVENTS)


async def test_readiness_and_metrics_are_served_on_the_status_port():
    async with deployment() as world:
        await world.caller().request("GET", "/lookup/1", Attempt_Id="a1")
        status = Caller(world.gateways[0].settings.ready.port)
        assert (await status.request("GET", "/api/readyz")).status == 200
        metrics = (await status.request("GET", "/metrics")).body.decode()
        assert "acaciapier_gateway_requests_total" in metrics
        assert "acaciapier_gateway_duration" in metrics
        assert "acaciapier_gateway_store_calls_total" in metrics
        assert 'verb="watch"' in metrics
        world.gateways[0].app.stop()
        await world.until(lambda: world.gateways[0].dispatcher.stopping)
        assert (await status.request("GET", "/api/readyz")).status == 503


STORE_STABLE_S, CONFIGURATION_APPLIED_S = 3.0, 2.0
"""Users' bounds: the store counts as stable 3 s after it responds again, and the newest
configuration takes effect within 2 s after that."""


async def test_a_configuration_takes_effect_in_time_after_a_silent_store():
    async with deployment() as world:
        catalogue = world.gateways[0].catalogue
        store = world.platform.store
        # A watch that arrives later would be silent, too, and not tell of version 2.
        await world.until(lambda: store.watches[OBJECT_KIND])
        store.faults.silent = True
        world.platform.configure(configuration(2, ROUTES, SERVICES))
        await world.until(lambda: catalogue.configuration.version == 2)
        await trio.sleep(1.0)
        store.faults.silent = False
        world.platform.configure(configuration(3, ROUTES, SERVICES))
        await world.until(
            lambda: catalogue.configuration.version == 3,
            STORE_STABLE_S + CONFIGURATION_APPLIED_S,
        )


async def test_a_kept_connection_is_served_once_more_after_a_stop_within_a_response():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.pause_s = 0.3
        caller = world.caller()
        await caller.send("POST", "/chat/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        await trio.sleep(0.1)
        world.gateways[0].app.stop()
        answer = await caller.receive()
        assert (answer.complete, "connection" in answer.headers) == (True, False)
        await trio.sleep(0.1)
        answer = await caller.request("GET", "/lookup/1", Attempt_Id="a2")
        assert (answer.status, answer.complete) == (200, True)
        assert answer.headers["connection"] == "close"
