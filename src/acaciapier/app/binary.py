"""Start-up shared by all binaries of the fleet."""

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

GC_THRESHOLDS = (20_000, 50, 1_000)
"""Thresholds for `gc.set_threshold`.

The first is the number of new objects before a collection of the youngest generation,
the others are the numbers of collections of one generation before the next older one.
"""


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


def tune_garbage_collection() -> None:
    """Exclude the objects created at start-up from garbage collection.

    Each collection blocks the event loop, and with it all streams, so collections are
    made shorter and less frequent.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


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
