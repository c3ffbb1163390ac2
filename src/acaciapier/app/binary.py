"""Start-up shared by all binaries of the fleet."""

import random
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Protocol, TypeVar

import trio

from ..exceptions import FindingsError
from ..observability import make_handler
from ..settings import FleetSettings, load_settings
from .application import Application
from .garbage_collection import tune_garbage_collection

Settings = TypeVar("Settings", bound=FleetSettings)


class Instance(Protocol):
    """The components of one process."""

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Start all components in `nursery` and register stop hooks with `app`."""


def run_binary(
    path: Path,
    model: type[Settings],
    make_instance: Callable[[Settings, random.Random], Instance],
) -> None:
    """Load the settings at `path` and run an instance until a signal stops it."""
    try:
        settings = load_settings(path, model)
    except FindingsError as error:
        sys.exit(str(error))
    with make_handler(settings.log).applicationbound():
        trio.run(partial(run_instance, settings, make_instance))


async def run_instance(
    settings: Settings, make_instance: Callable[[Settings, random.Random], Instance]
) -> None:
    """Run an instance until a signal stops it."""
    app = Application(f"instance {settings.instance.id}")
    instance = make_instance(settings, random.Random())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(app.watch_signals)
        tune_garbage_collection()
        await app.run(instance.start)
        nursery.cancel_scope.cancel()
