"""Entry point of `acaciapier`, the command line for operators."""

from dataclasses import dataclass

import cappa

from .check import Check
from .explain import Explain
from .fleet import Costs, Drain, Release, Status
from .objects import Apply, Delete, Diff, Get, History, Patch, Undo

Commands = (
    Check
    | Apply
    | Patch
    | Delete
    | Get
    | Diff
    | History
    | Undo
    | Status
    | Drain
    | Release
    | Costs
    | Explain
)


@cappa.command(name="acaciapier")
@dataclass
class Acaciapier:
    """Change and watch acaciapier as an operator.

    Exit codes: 0 done; 1 findings, refused or not found; 2 wrong usage; 3 conflict
    with another change; 4 no answer, the same command may be repeated.
    """

    command: cappa.Subcommands[Commands]


def main(argv: list[str] | None = None) -> None:
    """Run one command and end the process with its exit code.

    Parameters
    ----------
    argv : list of str, optional
        Command-line arguments; by default those of the process.
    """
    cappa.invoke(Acaciapier, argv=argv, completion=False)


if __name__ == "__main__":
    main()
