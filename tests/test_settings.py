"""Tests of settings files."""

from pathlib import Path

import pytest

from acaciapier.exceptions import FindingsError
from acaciapier.settings import (
    AdminSettings,
    ControllerSettings,
    EntrySettings,
    load_settings,
)

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize(
    ("name", "model"),
    [
        ("entry", EntrySettings),
        ("admin", AdminSettings),
        ("controller", ControllerSettings),
    ],
)
def test_examples_are_valid(name, model):
    settings = load_settings(EXAMPLES / f"{name}.jsonc", model)
    assert settings.instance.id == f"{name}-1"


def test_all_findings_are_reported_with_their_places(tmp_path):
    path = tmp_path / "entry.jsonc"
    path.write_text('{"instance": {"id": ""}, "listen": {"port": 70000}, "x": 1}')
    with pytest.raises(FindingsError) as caught:
        load_settings(path, EntrySettings)
    places = {finding.place for finding in caught.value.findings}
    assert places == {
        "instance.id",
        "instance.data_centre",
        "instance.region",
        "listen.port",
        "fleet_keys",
        "platform",
        "x",
    }


def test_malformed_and_missing_files_are_findings(tmp_path):
    path = tmp_path / "entry.jsonc"
    path.write_text("{")
    for unreadable in (path, tmp_path / "missing.jsonc"):
        with pytest.raises(FindingsError):
            load_settings(unreadable, EntrySettings)
