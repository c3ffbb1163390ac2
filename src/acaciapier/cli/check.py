"""The `check` command, which checks files without calling the API."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa
import jsonc
from rich.markup import escape

from ..admin.bodies import DoneBody, FindingBody
from ..core.findings import Finding
from ..exceptions import FindingsError
from ..objects import load_bundle
from ..platform.settings import read_settings
from ..settings.files import load_settings
from ..settings.models import AdminSettings, ControllerSettings, EntrySettings
from .exits import ExitCode
from .options import SharedOptions

SETTINGS_MODELS = {
    "entry": EntrySettings,
    "admin": AdminSettings,
    "controller": ControllerSettings,
}


@cappa.command(name="check", help="Check a bundle or a settings file.")
@dataclass
class Check(SharedOptions):
    """Check a bundle of declared objects or a settings file, with all findings.

    Examples: `acaciapier check examples/kartvel.jsonc`,
    `acaciapier check entry.jsonc --as entry`.
    """

    file: Annotated[str, cappa.Arg(help="JSON with comments")]
    settings_of: Annotated[
        Literal["entry", "admin", "controller", "gateway"] | None,
        cappa.Arg(long="--as", help="check the settings of this binary"),
    ] = None

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        try:
            self._check()
        except FindingsError as error:
            if session.as_json:
                findings = [
                    FindingBody(finding.place, finding.message)
                    for finding in error.findings
                ]
                session.show(findings, "")
                raise cappa.Exit(code=int(ExitCode.REFUSED)) from error
            raise cappa.Exit(escape(str(error)), code=int(ExitCode.REFUSED)) from error
        done = DoneBody(f"{self.file}: no findings")
        session.show(done, done.message)

    def _check(self) -> None:
        if self.settings_of == "gateway":
            read_settings(Path(self.file), os.environ)
        elif self.settings_of is not None:
            load_settings(self.file, SETTINGS_MODELS[self.settings_of])
        elif _is_settings_file(Path(self.file)):
            load_settings(self.file, EntrySettings)
        else:
            load_bundle(self.file)


def _body_of(finding: Finding) -> FindingBody:
    return FindingBody(finding.place, finding.message)


def _is_settings_file(path: Path) -> bool:
    """Return whether a file contains settings, a JSON object; a bundle is a list."""
    try:
        return isinstance(jsonc.loads(path.read_text()), dict)
    except (OSError, ValueError, RecursionError):
        return False
