"""Tests of the command: settings, the bound port, crashes and the work log file."""

import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import httpcore
import msgspec
import pytest
import trio

from acaciapier.exceptions import FindingsError
from acaciapier_standins import load_settings
from acaciapier_standins.standin import CRASH_STATUS

from .client import Client, envelope

SOURCE = Path(__file__).parents[2] / "src"


@contextmanager
def process_of(kind, tmp_path, text):
    settings = tmp_path / "settings.json"
    settings.write_text(text % (tmp_path / "book", tmp_path / "port"))
    command = [sys.executable, "-m", "acaciapier_standins.main", kind]
    process = subprocess.Popen(
        [*command, "--settings", str(settings)], env={"PYTHONPATH": str(SOURCE)}
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def client_of(tmp_path):
    while not (tmp_path / "port").exists() or not (tmp_path / "port").read_text():
        await trio.sleep(0.01)
    return Client("http://127.0.0.1:" + (tmp_path / "port").read_text())


async def test_process_crashes_on_poison_and_keeps_its_work_log(tmp_path):
    text = '{"median_ms": 0, // at once\n "book_path": "%s", "port_path": "%s"}'
    with process_of("service", tmp_path, text) as process:
        client = await client_of(tmp_path)
        assert (await client.call("POST", "/v1/call", envelope()))[0] == 200
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            poison = envelope(input={"text": "x", "poison": True})
            await client.call("POST", "/v1/call", poison)
        await client.close()
        assert process.wait(10) == CRASH_STATUS
    lines = [msgspec.json.decode(x) for x in (tmp_path / "book").open("rb")]
    assert [line["number"] for line in lines] == [1, 1, 2]
    assert [line["ended_ms"] is None for line in lines] == [True, False, True]


async def test_process_finishes_its_work_on_a_signal(tmp_path):
    text = '{"median_ms": 800, "sigma": 0, "book_path": "%s", "port_path": "%s"}'
    with process_of("service", tmp_path, text) as process:
        client = await client_of(tmp_path)
        answers = []

        async def run():
            answers.append(await client.call("POST", "/v1/call", envelope()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            while not (tmp_path / "book").read_bytes():
                await trio.sleep(0.01)
            process.terminate()
            while (await client.get("/control"))[1]["leaving"] is not True:
                await trio.sleep(0.01)
            refused = await client.call("POST", "/v1/call", envelope(attempt=2))
        await client.close()
        assert (refused[0], refused[1]["cause"]) == (503, "leaving")
        assert answers[0][0] == 200
        assert process.wait(10) == 0


def test_settings_report_every_problem(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text('{"slots": 0, "colour": 1}')
    with pytest.raises(FindingsError) as caught:
        load_settings("pool", path)
    assert len(caught.value.findings) == 2
