"""Typed messages of the inner protocol, one module for each concern."""

from .base import Message
from .control import Acknowledgement, CallFailure

__all__ = ["Acknowledgement", "CallFailure", "Message"]
