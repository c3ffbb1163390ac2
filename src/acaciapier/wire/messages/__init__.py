"""Typed messages of the internal protocol, one module for each concern."""

from .base import Message, message_tag
from .control import Acknowledgement, CallFailure

__all__ = ["Acknowledgement", "CallFailure", "Message", "message_tag"]
