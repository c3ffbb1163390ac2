"""Models of the settings files, and a loader that reports all problems at once."""

from .files import load_settings
from .models import AdminSettings, ControllerSettings, EntrySettings, FleetSettings

__all__ = [
    "AdminSettings",
    "ControllerSettings",
    "EntrySettings",
    "FleetSettings",
    "load_settings",
]
