"""The binary `acaciapier-bench`: experiments on local stand-ins."""

from dataclasses import dataclass

import cappa

from .demo import Demo
from .history.poison import PoisonCommand
from .history.run import HistoryCommand
from .load import LoadCommand
from .path_cost import PathCommand


@cappa.command(name="acaciapier-bench")
@dataclass
class BenchCommand:
    """Experiments on local stand-ins, each a small deployment of its own."""

    command: cappa.Subcommands[
        Demo | HistoryCommand | LoadCommand | PathCommand | PoisonCommand
    ]


def main() -> None:
    """Parse the command line and run one experiment."""
    cappa.invoke(BenchCommand)


if __name__ == "__main__":
    main()
