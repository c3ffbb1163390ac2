"""Reads settings files, which are JSON with comments."""

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
        Path of the settings file.
    model : type
        Model to validate the file with.

    Raises
    ------
    FindingsError
        If the file has problems; the error lists each one with its place.
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
        raise AssertionError(
            "a validation error contains at least one finding"
        ) from error


def _as_json(content: object) -> str:
    # Pydantic's JSON mode accepts lists for fields that are declared as tuples.
    return jsonc.dumps(content)
