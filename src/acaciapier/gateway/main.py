"""Entry point of the gateway binary."""

import os
import random
import signal
import sys
from functools import partial

import trio

from ..app.application import Application
from ..app.garbage_collection import tune_garbage_collection
from ..exceptions import FindingsError
from ..platform.settings import read_settings, settings_path
from .instance import GatewayInstance


def main() -> None:
    """Read the settings and run a gateway until a signal stops it."""
    reread = partial(read_settings, settings_path(), os.environ)
    try:
        settings = reread()
    except FindingsError as error:
        sys.exit(str(error))
    trio.run(_run, GatewayInstance(settings, random.Random(), reread))


async def _run(instance: GatewayInstance) -> None:
    # The platform kills a process whose grace period is over; SIGTERM never has to.
    app = Application(
        f"gateway {instance.settings.instance}", exit_signals=[signal.SIGINT]
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(app.watch_signals)
        tune_garbage_collection()
        await app.run(instance.start)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    main()
