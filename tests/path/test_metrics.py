"""Tests of the metrics and readiness endpoints of an entry instance."""

import httpcore
from path_helpers import open_deployment


async def test_metrics_of_requests_stages_costs_and_store_calls():
    async with open_deployment() as deployment, deployment.session() as session:
        await session.run("quote", {"text": "a"})
        await session.run("book", {"a": 1})
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", f"{deployment.urls[0]}/metrics")
            ready = await pool.request("GET", f"{deployment.urls[0]}/readyz")
    text = response.content.decode()
    for name in (
        "acaciapier_requests_total",
        "acaciapier_request_duration",
        "acaciapier_first_token_duration",
        "acaciapier_stage_duration",
        "acaciapier_stage_units_total",
        "acaciapier_store_calls_total",
    ):
        assert name in text
    assert 'purpose="claims"' in text
    assert ready.status == 200
