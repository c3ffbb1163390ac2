"""The binary `acaciapier-entry`: callers in, targets out."""

import random
import sys
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated

import cappa
import trio

from ..app import Application
from ..exceptions import FindingsError
from ..observability import make_handler
from ..settings import EntrySettings, load_settings
from .instance import EntryInstance


@cappa.command(name="acaciapier-entry")
@dataclass
class EntryCommand:
    """Run an entry instance, between callers and targets."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="settings file, JSON with comments")
    ]


def main() -> None:
    """Parse the command line and serve until a signal ends the process."""
    command = cappa.parse(EntryCommand)
    try:
        settings = load_settings(command.settings, EntrySettings)
        instance = EntryInstance(settings, random.Random())
    except FindingsError as problem:
        sys.exit(str(problem))
    with make_handler(settings.log).applicationbound():
        trio.run(partial(run_instance, instance))


async def run_instance(instance: EntryInstance) -> None:
    """Run an instance until a signal stops it."""
    app = Application(f"instance {instance.settings.instance.id}")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(app.watch_signals)
        await app.run(instance.start)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    main()
