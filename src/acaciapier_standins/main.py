"""Command `acaciapier-standin`, which simulates one external system."""

import signal
import sys
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated, Literal

import cappa
import trio

from acaciapier.exceptions import FindingsError

from . import serve_standin
from .settings import Settings, load_settings
from .standin import Standin

Kind = Literal[
    "object-api", "instance-list", "weight-store", "engine", "pool", "service"
]


@cappa.command(name="acaciapier-standin")
@dataclass
class StandinCommand:
    """Run a small stand-in of a platform service or of a target."""

    kind: Annotated[Kind, cappa.Arg(help="what to stand in for")]
    settings: Annotated[
        Path, cappa.Arg(long=True, help="settings file, JSON with comments")
    ]


def main() -> None:
    """Parse the command line and serve until SIGTERM or SIGINT."""
    command = cappa.parse(StandinCommand)
    try:
        settings = load_settings(command.kind, command.settings)
    except FindingsError as problem:
        sys.exit(str(problem))
    trio.run(partial(_serve_until_signal, settings))


async def _serve_until_signal(settings: Settings) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(
                partial(serve_standin, settings, exits_on_crash=True)
            )
            print(f"{settings.kind} on {bound.url}", flush=True)
            await signals.__anext__()
            nursery.start_soon(_drain, bound.standin, nursery.cancel_scope)
            await signals.__anext__()
            nursery.cancel_scope.cancel()


async def _drain(standin: Standin, scope: trio.CancelScope) -> None:
    """Stop serving once running work has ended; a second signal stops it at once."""
    await standin.drain()
    scope.cancel()


if __name__ == "__main__":
    main()
