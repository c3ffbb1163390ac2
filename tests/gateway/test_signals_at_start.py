"""Signals that a gateway gets while it starts."""

import sys
from pathlib import Path

import trio

from acaciapier_standins.platform.platform import HOST, StandInPlatform
from acaciapier_standins.ports import free_ports

from .gateway_processes import GatewayProcess

START_SCRIPT = Path(__file__).parents[2] / "deploy" / "gateway.py"
SIGNAL_AT_EACH_IMPORT = """
import runpy, signal, sys

class Finder:
    @staticmethod
    def find_spec(name, path=None, target=None):
        if name.startswith("acaciapier"):
            signal.raise_signal(signal.SIGHUP)

sys.meta_path.insert(0, Finder)
runpy.run_path(sys.argv[1], run_name="__main__")
"""


async def test_a_change_of_settings_during_a_start_does_not_end_the_process(tmp_path):
    """A gateway that got SIGHUP in the first part of its start ended."""
    async with trio.open_nursery() as nursery:
        platform = StandInPlatform(nursery)
        await platform.start()
        platform.configure({"version": 1, "routes": [], "services": [], "limits": {}})
        ports = free_ports(HOST, 3)
        gateway = GatewayProcess("edge-1", ports, tmp_path)
        command = [sys.executable, "-c", SIGNAL_AT_EACH_IMPORT, START_SCRIPT]
        gateway.start(platform.settings_text("edge-1", ports), command)
        try:
            await gateway.wait_ready()
        finally:
            gateway.end()
            nursery.cancel_scope.cancel()
