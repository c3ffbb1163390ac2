"""The application object that owns resources and their clean-up."""

from .application import Application, State

__all__ = ["Application", "State"]
