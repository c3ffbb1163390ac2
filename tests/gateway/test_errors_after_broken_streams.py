"""Workers that answer with an error when a begun stream should go on at them."""

import pytest
import trio

from acaciapier_standins.platform.platform import configuration, route

from .support import SERVICES, deployment

EVENTS = [f"id: {n}\ndata: a1 {n}\n\n".encode() for n in range(1, 5)]
WHOLE = b"".join(EVENTS)
TEXT = b"<html>no such page</html>"
ERROR = b"HTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\nerror"


async def end_at_once(request, headers, exchange) -> None:
    await exchange.start(200, _identity(headers))
    await exchange.end()


async def answer_with_a_page(request, headers, exchange) -> None:
    fields = [*_identity(headers), (b"Content-Type", b"text/html")]
    await exchange.respond(200, fields, TEXT)


async def answer_with_an_empty_body(request, headers, exchange) -> None:
    await exchange.respond(200, _identity(headers), b"")


async def write_an_error_after_an_event(request, headers, exchange) -> None:
    await exchange.start(200, _identity(headers))
    await exchange.send(EVENTS[2])
    await exchange.send(ERROR + b"\n\n")
    await exchange.end()


async def write_an_error_within_an_event(request, headers, exchange) -> None:
    await exchange.start(200, _identity(headers))
    await exchange.send(EVENTS[2][:-1] + ERROR + b"\n\n")
    await exchange.end()


async def leave_out_an_event(request, headers, exchange) -> None:
    await exchange.start(200, _identity(headers))
    await exchange.send(EVENTS[2])
    await exchange.send(b"id: 5\ndata: a1 5\n\n")
    await exchange.end()


def answer_with_status(status: int):
    async def answer(request, headers, exchange) -> None:
        body = b"" if status == 204 else TEXT
        await exchange.respond(status, _identity(headers), body)

    return answer


def _identity(headers) -> list[tuple[bytes, bytes]]:
    return [(b"Attempt-Id", headers["attempt-id"].encode()), (b"Server-Seal", b"x")]


ERRORS = {
    **{str(status): answer_with_status(status) for status in (400, 404, 302, 204, 500)},
    "page": answer_with_a_page,
    "empty": answer_with_an_empty_body,
    "end": end_at_once,
}
ERRORS_WITHIN = {
    "text-after-event": write_an_error_after_an_event,
    "text-in-event": write_an_error_within_an_event,
    "gap": leave_out_an_event,
}


async def play(begin, error, attempts: int, delay_s: float = 0.0):
    """Return the answer to a stream whose second worker answers with an error."""
    async with deployment() as world:
        resumed = route("mail", "streaming", "model", resumable=True)
        resumed["max_attempts"] = attempts
        world.platform.configure(configuration(2, [resumed], SERVICES))
        await world.platform.add_worker("model-3", "model", kind="stream")
        gateway = world.gateways[0]
        await world.until(lambda: gateway.catalogue.configuration.version == 2)
        await world.until(lambda: len(gateway.catalogue.workers_of("model")) == 3)
        asked = []

        def script(worker):
            run = worker._run_request

            async def answer(request, headers, exchange) -> None:
                asked.append(worker.name)
                if len(asked) == 1:
                    begin(world, worker)
                    await run(request, headers, exchange)
                elif len(asked) == 2:
                    await trio.sleep(delay_s)
                    await error(request, headers, exchange)
                else:
                    await run(request, headers, exchange)

            worker._run_request = answer

        for number in (1, 2, 3):
            script(world.platform.workers[f"model-{number}"])
        answer = await world.caller().request("POST", "/mail/1", b"{}", Attempt_Id="a1")
        assert len(asked) >= 2
        return answer


def break_off(world, worker) -> None:
    worker.faults.cut_after = 2


def fall_silent(world, worker) -> None:
    over = trio.Event()

    async def be_silent() -> None:
        await trio.sleep(0.015)
        worker.faults.silence = over
        await trio.sleep(1.6)
        over.set()
        worker.faults.silence = None

    world.start_soon(be_silent)


@pytest.mark.parametrize("name", [*ERRORS, *ERRORS_WITHIN])
async def test_an_error_after_a_broken_stream_is_neither_its_text_nor_its_end(name):
    answer = await play(break_off, (ERRORS | ERRORS_WITHIN)[name], attempts=2)
    assert answer.status == 200
    assert not answer.complete
    assert answer.body in (WHOLE[: len(b"".join(EVENTS[:n]))] for n in (2, 3))


@pytest.mark.parametrize("name", [*ERRORS, *ERRORS_WITHIN])
async def test_a_broken_stream_goes_on_at_a_third_worker_after_an_error(name):
    answer = await play(break_off, (ERRORS | ERRORS_WITHIN)[name], attempts=3)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body == WHOLE


@pytest.mark.parametrize("name", ["404", "302", "204", "page", "empty", "end"])
async def test_the_stream_of_a_silent_worker_is_not_cut_by_the_error_of_another(name):
    answer = await play(fall_silent, ERRORS[name], attempts=2)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body == WHOLE
