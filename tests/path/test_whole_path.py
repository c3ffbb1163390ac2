"""End-to-end tests of requests from the client to the targets."""

import httpcore
import msgspec
import pytest
from path_helpers import OTHER_TOKEN, TOKEN, open_deployment

from acaciapier import NotRun


async def test_answer_is_complete_and_arrives_in_parts():
    async with open_deployment() as deployment, deployment.session() as session:
        follower = session.follow("quote", {"text": "12 bowls"})
        parts = [part async for part in follower.parts()]
        answer = follower.answer
    assert answer.count == 40
    assert len(parts) > 1
    assert "".join(part.text for part in parts) == answer.text
    assert set(answer.cost) == {"embed", "search", "draft"}


async def test_pipeline_without_tokens_answers_with_a_value():
    async with open_deployment() as deployment, deployment.session() as session:
        answer = await session.run("find", {"text": "12 bowls"})
    assert answer.value is not None
    assert answer.count == 1


async def post(deployment, content, token=TOKEN):
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"{deployment.urls[0]}/v1/requests",
            headers=[(b"authorization", f"Bearer {token}".encode())],
            content=content,
        )
        return response.status, msgspec.json.decode(response.content)


BAD_REQUESTS = {
    "malformed": (b"{", 400, "bad_request"),
    "unknown key": (
        b'{"request_id":"r","pipeline":"quote","x":1}',
        400,
        "bad_request",
    ),
    "wrong types": (b'{"request_id":7,"pipeline":[]}', 400, "bad_request"),
    "deadline in the past": (
        b'{"request_id":"r","pipeline":"quote","deadline_ms":-5}',
        400,
        "bad_request",
    ),
    "unknown pipeline": (
        b'{"request_id":"r","pipeline":"nothing"}',
        404,
        "unknown_pipeline",
    ),
    "too large": (b'"' + b"x" * 1_100_000 + b'"', 413, "too_large"),
    "too deep": (
        b'{"request_id":"r","pipeline":"quote","input":%s}' % (b"[" * 60 + b"]" * 60),
        400,
        "bad_request",
    ),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
async def test_bad_request_is_refused_with_its_cause(name):
    content, status, cause = BAD_REQUESTS[name]
    async with open_deployment() as deployment:
        found_status, body = await post(deployment, content)
    assert (found_status, body["cause"]) == (status, cause)
    assert body["outcome"] == "not_run"
    assert body["message"]


async def test_all_findings_of_a_body_are_reported():
    async with open_deployment() as deployment:
        _, body = await post(deployment, b'{"request_id":"","pipeline":"q","x":1}')
    assert "request_id" in body["message"]
    assert "x:" in body["message"]


async def test_bad_token_is_refused():
    async with open_deployment() as deployment, deployment.session("wrong") as session:
        with pytest.raises(NotRun) as caught:
            await session.run("quote", {})
    assert caught.value.final.cause.value == "unauthenticated"


async def test_reused_id_joins_the_run_and_other_content_is_refused():
    async with open_deployment() as deployment, deployment.session() as session:
        first = await session.run("quote", {"text": "a"}, request_id="r-1")
        again = await session.run("quote", {"text": "a"}, request_id="r-1")
        with pytest.raises(NotRun) as caught:
            await session.run("quote", {"text": "b"}, request_id="r-1")
        calls = sum(
            len(deployment.standin_report(name)["entries"])
            for name in ("generate-1", "generate-2")
        )
    assert first.text == again.text
    assert caught.value.final.cause.value == "id_reused"
    assert calls == 1


async def test_request_ids_are_scoped_to_the_workspace():
    async with open_deployment() as deployment:
        async with (
            deployment.session() as sales,
            deployment.session(OTHER_TOKEN) as other,
        ):
            first = await sales.run("quote", {"text": "a"}, request_id="r-1")
            second = await other.run("quote", {"text": "a"}, request_id="r-1")
    assert first.text != second.text
