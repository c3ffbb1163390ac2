"""Tests of clocks and findings."""

import pytest
from pydantic import ValidationError

from acaciapier.core.clock import ManualClock
from acaciapier.core.findings import Findings
from acaciapier.exceptions import FindingsError
from acaciapier.objects.models import Pipeline


def test_manual_clock_moves_both_times():
    clock = ManualClock()
    before = clock.now()
    clock.advance(1.5)
    assert clock.monotonic_s() == 1.5
    assert (clock.now() - before).total_seconds() == 1.5


def test_manual_clock_cannot_go_back():
    with pytest.raises(ValueError):
        ManualClock().advance(-1)


def test_findings_are_reported_together_with_their_places():
    findings = Findings()
    stages = [{"name": "a", "kind": "encode"}, {"name": "B", "kind": "x", "pool": "p"}]
    with pytest.raises(ValidationError) as caught:
        Pipeline.model_validate({"name": "quote", "stages": stages, "extra": 1})
    findings.add_validation_error(caught.value, "pipelines.quote")
    with pytest.raises(FindingsError) as raised:
        findings.raise_if_any("examples/quote.json")
    places = {finding.place for finding in raised.value.findings}
    assert places == {
        "pipelines.quote.stages[0].pool",
        "pipelines.quote.stages[1].name",
        "pipelines.quote.stages[1].kind",
        "pipelines.quote.extra",
    }


def test_all_public_names_are_available():
    import acaciapier
    import acaciapier.http

    for package in (acaciapier, acaciapier.http):
        assert all(getattr(package, name) is not None for name in package.__all__)
    with pytest.raises(AttributeError, match="no attribute 'Sesion'"):
        acaciapier.Sesion
