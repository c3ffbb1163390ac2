"""Process lifecycle: start-up, signals, graceful stop and clean-up."""

from .application import Application, State

__all__ = ["Application", "State"]
