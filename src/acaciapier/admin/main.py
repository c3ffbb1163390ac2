"""Entry point of `acaciapier-admin`, which serves the administration API."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..app.binary import run_binary
from ..settings import AdminSettings
from .instance import AdminInstance


@cappa.command(name="acaciapier-admin")
@dataclass
class AdminCommand:
    """Run an instance of the administration API."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="settings file, JSON with comments")
    ]


def main() -> None:
    """Parse the command line and serve until a signal ends the process."""
    command = cappa.parse(AdminCommand)
    run_binary(command.settings, AdminSettings, AdminInstance)


if __name__ == "__main__":
    main()
