"""Tests of declared objects, bundles and the lookups of a state."""

from pathlib import Path

import pytest

from acaciapier.configuration import ConfigurationState
from acaciapier.exceptions import FindingsError
from acaciapier.objects import (
    RouteRule,
    TargetPool,
    Workspace,
    check_objects,
    load_bundle,
    parse_object,
    parse_stored,
    stored_value,
)

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
BUNDLES = ("riviere-noire.jsonc", "kartvel.jsonc")


@pytest.mark.parametrize("name", BUNDLES)
def test_examples_are_valid_and_their_tokens_give_access(name):
    state = ConfigurationState.from_objects(load_bundle(EXAMPLES / name))
    assert len(state.workspaces) == 5
    assert all(3 <= len(pipeline.stages) <= 6 for pipeline in state.pipelines)
    assert any(
        not stage.repeatable
        for pipeline in state.pipelines
        for stage in pipeline.stages
    )
    for workspace in state.workspaces:
        assert state.workspace_of_token(f"test-token-{workspace.name}") == workspace
    assert state.workspace_of_token("test-token-") is None


def test_rules_route_a_share_of_requests_and_always_the_same_ones():
    state = ConfigurationState.from_objects(load_bundle(EXAMPLES / BUNDLES[0]))
    routed = [state.route("walk-in", "quote", f"r{n}").name for n in range(400)]
    assert 150 < routed.count("quote-short") < 250
    assert routed == [state.route("walk-in", "quote", f"r{n}").name for n in range(400)]
    assert state.route("hotels", "quote", "r1").name == "quote"
    assert state.route("hotels", "absent", "r1") is None


def test_every_finding_across_objects_is_reported_with_its_location(tmp_path):
    path = tmp_path / "bundle.jsonc"
    token = "0" * 64
    path.write_text(
        f"""[ // faults of every sort
        {{"kind": "pool", "name": "e", "serves": "encode", "model": "m"}},
        {{"kind": "pool", "name": "e", "serves": "encode"}},
        {{"kind": "workspace", "name": "a", "token_sha256": ["{token}"]}},
        {{"kind": "workspace", "name": "b", "token_sha256": ["{token}", "xy"]}},
        {{"kind": "route", "name": "r", "pipeline": "p", "to_pipeline": "gone",
          "workspaces": ["c"]}},
        {{"kind": "pipeline", "name": "p", "stages": [
          {{"name": "s", "kind": "rerank", "pool": "e", "needs": ["t"]}},
          {{"name": "t", "kind": "encode", "pool": "x", "needs": ["s"]}}]}},
        {{"kind": "pipeline", "name": "q", "deadline_ms": 10, "stages": [
          {{"name": "s", "kind": "encode", "pool": "e"}},
          {{"name": "t", "kind": "encode", "pool": "e"}}]}},
        {{"kind": "pipeline", "name": "o", "stages": [
          {{"name": "s", "kind": "encode", "pool": "e", "needs": ["z"]}},
          {{"name": "s", "kind": "encode", "pool": "e"}}]}}
        ]"""
    )
    with pytest.raises(FindingsError) as raised:
        load_bundle(path)
    assert {finding.place for finding in raised.value.findings} == {
        "pool/e",
        "pool/e.model",
        "workspace/b.token_sha256[0]",
        "workspace/b.token_sha256[1]",
        "route/r.to_pipeline",
        "route/r.workspaces[0]",
        "pipeline/p.stages[0].pool",
        "pipeline/p.stages[1].pool",
        "pipeline/p.stages",
        "pipeline/q.stages[0]",
        "pipeline/q.deadline_ms",
        "pipeline/o.stages[0].needs[0]",
        "pipeline/o.stages[1].name",
    }


@pytest.mark.parametrize("text", ["{", "{}", "[1]", '[{"kind": "x"}]', "[" * 5000])
def test_unreadable_bundles_are_findings(tmp_path, text):
    path = tmp_path / "bundle.jsonc"
    path.write_text(text)
    with pytest.raises(FindingsError):
        load_bundle(path)


def test_values_of_a_newer_release_are_read_from_the_store_only():
    value = stored_value(Workspace(name="a")) | {"added_later": 1}
    assert parse_stored(value) == Workspace(name="a")
    findings = check_objects([])
    assert parse_object(value, findings, "[0]") is None
    assert len(findings) == 1


def test_a_rule_of_lower_order_comes_first():
    pipelines = load_bundle(EXAMPLES / BUNDLES[0])
    rule = RouteRule(name="x", order=1, pipeline="quote", to_pipeline="delivery")
    state = ConfigurationState.from_objects([*pipelines, rule])
    assert state.route("walk-in", "quote", "r").name == "delivery"
    assert isinstance(state.pool("encode"), TargetPool)
