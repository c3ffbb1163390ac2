"""Typed messages of the inner protocol, one module for each concern."""

from .base import Message

__all__ = ["Message"]
