"""The operators' command line, run against the administration API."""

import json
from pathlib import Path

import pytest
import trio

from acaciapier.cli.main import main
from configuration.fakes import FakeStore
from configuration.test_admin import serving

EXAMPLE = Path(__file__).parent.parent.parent / "examples" / "kartvel.jsonc"


def run(*arguments):
    """Run a command and return its exit code."""
    try:
        main(list(arguments))
    except SystemExit as ended:
        return ended.code or 0
    return 0


@pytest.fixture
def command(capsys, monkeypatch):
    """Return a function that runs a command and returns its exit code and output."""

    async def invoke(client, *arguments, role="admin"):
        monkeypatch.setenv("ACACIAPIER_ADDRESS", client.url)
        monkeypatch.setenv("ACACIAPIER_TOKEN", f"test-{role}")
        code = await trio.to_thread.run_sync(run, *arguments)
        shown = capsys.readouterr()
        return code, shown.out + shown.err

    return invoke


async def test_a_bundle_is_applied_shown_patched_and_undone(command, tmp_path):
    async with serving(FakeStore()) as client:
        code, shown = await command(client, "apply", str(EXAMPLE), "--dry-run")
        assert (code, "create" in shown) == (0, True)
        code, shown = await command(client, "apply", str(EXAMPLE))
        assert (code, "Accepted as change 1" in shown) == (0, True)
        for role in ("viewer", "admin"):
            again = await command(client, "apply", str(EXAMPLE), role=role)
            assert again == (0, "Nothing to change.\n")
        code, shown = await command(client, "get", "--kind", "pool", "--json")
        assert len(json.loads(shown)["objects"]) == 8
        patch = tmp_path / "patch.json"
        patch.write_text('[{"op": "replace", "path": "/deadline_ms", "value": 2500}]')
        change = ("patch", "pipeline/dossier", str(patch), "--version", "1")
        assert (await command(client, *change))[0] == 0
        code, shown = await command(client, *change)
        assert (code, "is at version 2, not 1" in shown) == (3, True)
        code, shown = await command(client, "diff", "pipeline/dossier")
        assert (code, "/deadline_ms" in shown) == (0, True)
        code, shown = await command(client, "undo", "2", "--json")
        assert (code, json.loads(shown)["number"]) == (0, 3)
        code, shown = await command(client, "history", "pipeline/dossier", "--json")
        assert [change["number"] for change in json.loads(shown)["changes"]] == [
            3,
            2,
            1,
        ]
        code, shown = await command(client, "get", "pipeline/dossier")
        assert (code, '"needs": [' in shown) == (0, True)
        code, _ = await command(client, "delete", "route/insurers-short", "--version=1")
        assert code == 0


async def test_exit_codes_distinguish_kinds_of_failure(command, tmp_path, monkeypatch):
    monkeypatch.setattr("acaciapier.cli.client.RESEND_PAUSE_S", 0.0)
    store = FakeStore()
    async with serving(store) as client:
        assert (await command(client, "get", "pool/none"))[0] == 1
        assert (await command(client, "get", role="nobody"))[0] == 1
        assert (await command(client, "apply", str(EXAMPLE), role="operator"))[0] == 1
        assert (await command(client, "get", "pool"))[0] == 2
        bad = tmp_path / "bad.jsonc"
        bad.write_text('[{"kind": "pool", "name": "a", "serves": "[x]"}]')
        for verb in ("check", "apply"):
            code, shown = await command(client, verb, str(bad))
            assert (code, "pool/a.serves" in shown) == (1, True)
        store.is_down = True
        assert (await command(client, "get"))[0] == 4
    assert (await command(client, "get"))[0] == 4


async def test_status_costs_drain_and_release_commands(command):
    async with serving(FakeStore()) as client:
        code, shown = await command(client, "status")
        assert (code, "current" in shown) == (0, True)
        code, shown = await command(client, "costs", "--workspace", "w")
        assert (code, "tokens 3" in shown) == (0, True)
        assert (await command(client, "drain", "target", "t0"))[0] == 0
        assert (await command(client, "drain", "target", "t1"))[0] == 1
        assert (await command(client, "drain", "lathe", "t1"))[0] == 2
        assert (await command(client, "release", "f0"))[0] == 0
