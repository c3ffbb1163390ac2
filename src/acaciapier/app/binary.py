"""Start-up that all binaries of the fleet share."""

import gc
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

Settings = TypeVar("Settings", bound=FleetSettings)

COLLECTION_THRESHOLDS = (20_000, 50, 1_000)
"""New objects before a pass over the youngest, and passes before an older one's."""


class Instance(Protocol):
    """The parts of one process."""

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Start all parts in `nursery` and add the stop hooks to `app`."""


def run_binary(
    path: Path,
    model: type[Settings],
    make: Callable[[Settings, random.Random], Instance],
) -> None:
    """Check the settings at `path` and run an instance until a signal stops it."""
    try:
        settings = load_settings(path, model)
    except FindingsError as problem:
        sys.exit(str(problem))
    with make_handler(settings.log).applicationbound():
        trio.run(partial(run_instance, settings, make))


def spare_collections() -> None:
    """Let the garbage collector pass over what was loaded at the start.

    Its passes stop the loop, and so each stream, for as long as they take.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


async def run_instance(
    settings: Settings, make: Callable[[Settings, random.Random], Instance]
) -> None:
    """Run an instance until a signal stops it."""
    app = Application(f"instance {settings.instance.id}")
    instance = make(settings, random.Random())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(app.watch_signals)
        spare_collections()
        await app.run(instance.start)
        nursery.cancel_scope.cancel()
