"""Base of all messages of the inner protocol."""

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A typed message; its tag on the wire is the name of its class.

    Fields travel by position. A later version may only append fields, each with
    a default; older readers skip what they do not know.
    """
