"""Typed messages of the inner protocol, one module for each concern."""

from .base import Message, message_tag
from .control import Acknowledgement, CallFailure

__all__ = ["Acknowledgement", "CallFailure", "Message", "message_tag"]
