"""Starts the gateway from a checkout, where the package is not installed."""

import signal
import sys
from pathlib import Path

# The settings are read later, so that a change meanwhile needs no signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from acaciapier.gateway.main import main

main()
