"""The binary `acaciapier-entry`."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..app.binary import run_binary
from ..settings import EntrySettings
from .instance import EntryInstance


@cappa.command(name="acaciapier-entry")
@dataclass
class EntryCommand:
    """Run an entry instance, between callers and targets."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="settings file, JSON with comments")
    ]


def main() -> None:
    """Parse the command line and serve until a signal stops the process."""
    command = cappa.parse(EntryCommand)
    run_binary(command.settings, EntrySettings, EntryInstance)


if __name__ == "__main__":
    main()
