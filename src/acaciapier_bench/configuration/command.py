"""The command that measures changes of the configuration."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
import trio
from rich.console import Console

from .measure import ConfigurationOptions, measure_configuration


@cappa.command(name="configuration", help="Measure changes of the configuration.")
@dataclass
class ConfigurationCommand:
    """Measure changes of the configuration: their cost and when they are in force."""

    instances: Annotated[int, cappa.Arg(long=True, help="daemons")] = 30
    regions: Annotated[int, cappa.Arg(long=True, help="regions")] = 3
    workspaces: Annotated[int, cappa.Arg(long=True, help="declared")] = 1_400
    changes: Annotated[int, cappa.Arg(long=True, help="changes to follow")] = 40
    rate_per_s: Annotated[float, cappa.Arg(long="--rate-per-s")] = 2.0
    outage_s: Annotated[float, cappa.Arg(long="--outage-s")] = 15.0

    def __call__(self) -> None:
        """Run the measurement and print its report as JSON."""
        options = ConfigurationOptions(
            instances=self.instances,
            regions=self.regions,
            workspaces=self.workspaces,
            changes=self.changes,
            rate_per_s=self.rate_per_s,
            outage_s=self.outage_s,
        )
        report = trio.run(measure_configuration, options)
        text = msgspec.json.format(msgspec.json.encode(report)).decode()
        Console().print(text, highlight=False, markup=False)
