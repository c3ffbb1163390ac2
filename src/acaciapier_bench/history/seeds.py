"""Runs a history once for each seed, and keeps what a failed one wrote."""

import os
import shutil
import tempfile
from collections.abc import Callable, Collection, Sequence
from functools import partial
from pathlib import Path
from typing import Any, NoReturn, Protocol, TypeVar

import cappa
import msgspec
import trio
from rich.console import Console

USAGE_STATUS = 2
WIDTH = 150


class RunResult(Protocol):
    """What a run came to."""

    history: Any
    violations: Sequence[Any]
    faults: Sequence[str]


Result = TypeVar("Result", bound=RunResult)


def choose_faults(
    chosen: Sequence[str] | None, known: Collection[str]
) -> tuple[str, ...]:
    """Return the chosen faults, or all; exits if one is unknown."""
    unknown = set(chosen or ()) - set(known)
    if unknown:
        names = ", ".join(sorted(unknown))
        raise cappa.Exit(f"unknown faults: {names}", code=USAGE_STATUS)
    return tuple(chosen or known)


def run_seeds(
    name: str,
    seeds: Sequence[int],
    keep: Path | None,
    run: Callable[[int, Path], Any],
    show: Callable[[Result, Console], None],
) -> NoReturn:
    """Run all seeds and exit, with 1 if a condition did not hold.

    Parameters
    ----------
    name : str
        Start of the names of the runs' folders.
    seeds : sequence of int
        One run each.
    keep : Path or None
        Where to keep the folders; without it only those of failed runs are kept.
    run : callable
        Asynchronous function of a seed and a folder that returns the result.
    show : callable
        Prints a result.
    """
    console = Console(width=WIDTH)
    found = 0
    for seed in seeds:
        base = keep or Path(tempfile.gettempdir())
        directory = base / f"{name}-{os.getpid()}-{seed}"
        directory.mkdir(parents=True)
        result = trio.run(partial(run, seed, directory))
        (directory / "faults.txt").write_text("\n".join(result.faults))
        (directory / "history.json").write_bytes(msgspec.json.encode(result.history))
        show(result, console)
        if keep is None and not result.violations:
            shutil.rmtree(directory)
        else:
            console.print(f"kept in {directory}")
        found += len(result.violations)
    raise cappa.Exit(code=1 if found else 0)
