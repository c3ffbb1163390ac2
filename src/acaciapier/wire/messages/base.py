"""Base of all messages of the inner protocol."""

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True):
    """A typed message; its tag on the wire is the name of its class."""
