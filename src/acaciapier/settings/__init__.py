"""Settings files: JSON with comments, checked as a whole."""

from .files import load_settings
from .models import AdminSettings, ControllerSettings, EntrySettings, FleetSettings

__all__ = [
    "AdminSettings",
    "ControllerSettings",
    "EntrySettings",
    "FleetSettings",
    "load_settings",
]
