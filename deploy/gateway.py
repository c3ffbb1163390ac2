"""Starts the gateway from a checkout, where the package is not installed."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from acaciapier.gateway.main import main

main()
