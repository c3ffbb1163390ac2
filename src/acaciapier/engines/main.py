"""Command line of `acaciapier-controller`, which controls model engines."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..app.binary import run_binary
from ..settings import ControllerSettings
from .instance import ControllerInstance


@cappa.command(name="acaciapier-controller")
@dataclass
class ControllerCommand:
    """Run a controller of model engines."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="settings file, JSON with comments")
    ]


def main() -> None:
    """Parse the command line and run until a signal ends the process."""
    command = cappa.parse(ControllerCommand)
    run_binary(command.settings, ControllerSettings, ControllerInstance)


if __name__ == "__main__":
    main()
