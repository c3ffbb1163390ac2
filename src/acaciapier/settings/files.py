"""Reading of settings files: JSON with comments, checked as a whole."""

from pathlib import Path
from typing import TypeVar

import jsonc
from pydantic import ValidationError

from ..core.findings import Findings
from .models import SettingsModel

Settings = TypeVar("Settings", bound=SettingsModel)


def load_settings(path: str | Path, model: type[Settings]) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str or Path
        File with JSON and comments.
    model : type
        Model that the file must match.

    Raises
    ------
    FindingsError
        With every problem and its place.
    """
    findings = Findings()
    try:
        content = jsonc.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        findings.add("(whole file)", str(error))
        findings.raise_if_any(str(path))
    try:
        return model.model_validate_json(_as_json(content))
    except ValidationError as error:
        findings.add_validation_error(error)
        findings.raise_if_any(str(path))
        raise AssertionError("a validation error has findings") from error


def _as_json(content: object) -> str:
    # The JSON mode of pydantic accepts a list where a tuple is declared.
    return jsonc.dumps(content)
