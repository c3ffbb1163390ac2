"""The binary `acaciapier-bench`: experiments on local stand-ins."""

from dataclasses import dataclass

import cappa

from .claims import ClaimsCommand
from .configuration.command import ConfigurationCommand
from .contract.command import ContractCommand
from .demo import Demo
from .fleet import FleetCommand
from .freeze import FreezeCommand
from .history.operators import OperatorsCommand
from .history.poison import PoisonCommand
from .history.run import HistoryCommand
from .instance_list import InstanceListCommand
from .load import LoadCommand
from .path_cost import PathCommand
from .policy.command import Policy
from .soak.command import SoakCommand
from .stream_cost import StreamsCommand
from .transport import TransportCommand


@cappa.command(name="acaciapier-bench")
@dataclass
class BenchCommand:
    """Experiments on local stand-ins, each a small deployment of its own."""

    command: cappa.Subcommands[
        ClaimsCommand
        | ConfigurationCommand
        | ContractCommand
        | Demo
        | FleetCommand
        | FreezeCommand
        | HistoryCommand
        | InstanceListCommand
        | LoadCommand
        | OperatorsCommand
        | PathCommand
        | Policy
        | PoisonCommand
        | SoakCommand
        | StreamsCommand
        | TransportCommand
    ]


def main() -> None:
    """Parse the command line and run one experiment."""
    cappa.invoke(BenchCommand)


if __name__ == "__main__":
    main()
