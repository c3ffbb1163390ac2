"""The subcommand `contract`."""

import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..soak.builds import BuildError, make_build


@cappa.command(name="contract")
@dataclass
class ContractCommand:
    """Write what the build of a commit sends and stores, for `tests/contract`."""

    commit: Annotated[str, cappa.Arg(help="Commit whose package writes the samples.")]

    def __call__(self) -> None:
        """Print the samples as JSON; exit with 2 if the commit does not build."""
        with tempfile.TemporaryDirectory() as made:
            try:
                build = make_build(self.commit, Path(made))
            except BuildError as error:
                raise cappa.Exit(str(error), code=2) from error
            done = subprocess.run(
                [build.python, "-m", "acaciapier_bench.contract.samples"],
                env=build.environment(),
                stdout=subprocess.PIPE,
                check=False,
            )
        if done.returncode:
            raise cappa.Exit(f"{build.name} writes no samples", code=2)
        sys.stdout.buffer.write(done.stdout)
