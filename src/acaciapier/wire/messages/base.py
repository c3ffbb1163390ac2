"""Base of all messages of the internal protocol."""

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A typed message, identified by its tag.

    The tag is the class name unless the class is declared with another one
    (`tag="Name"`). Fields travel by position. A later version may only append
    fields, each with a default; older readers skip what they do not know.
    """


def message_tag(message_type: type[Message]) -> str:
    """Return the tag that identifies `message_type` on the wire."""
    return message_type.__struct_config__.tag
