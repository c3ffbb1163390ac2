"""Writes one sample of each message and stored record of the build that runs it.

Runs with the package of any build, so it uses nothing of it but what all have.
"""

import importlib
import json
import pkgutil
import sys
from typing import Any

import msgspec
from msgspec import inspect

import acaciapier.wire.messages as messages
from acaciapier.platform.workers import encode_peer
from acaciapier.wire.messages.base import Message

NUMBER = 7
TEXT = "sample"


def message_types() -> list[type[Message]]:
    """Return all messages, by tag."""
    for module in pkgutil.iter_modules(messages.__path__):
        importlib.import_module(f"{messages.__name__}.{module.name}")
    found: list[type[Message]] = []
    pending = [Message]
    while pending:
        known = pending.pop()
        pending += known.__subclasses__()
        if known is not Message:
            found.append(known)
    return sorted(found, key=tag_of)


def tag_of(message_type: type[Message]) -> str:
    """Return the tag that identifies a message on the wire."""
    return message_type.__struct_config__.tag


def sample(kind: inspect.Type) -> Any:
    """Return a value of a type, with one item in each collection."""
    if isinstance(kind, inspect.StructType):
        return kind.cls(*(sample(field.type) for field in kind.fields))
    if isinstance(kind, inspect.UnionType):
        known = [one for one in kind.types if not isinstance(one, inspect.NoneType)]
        return sample(known[0])
    if isinstance(kind, inspect.VarTupleType):
        return (sample(kind.item_type),)
    if isinstance(kind, inspect.TupleType):
        return tuple(sample(one) for one in kind.item_types)
    if isinstance(kind, inspect.ListType):
        return [sample(kind.item_type)]
    if isinstance(kind, inspect.DictType):
        return {sample(kind.key_type): sample(kind.value_type)}
    if isinstance(kind, inspect.EnumType):
        return next(iter(kind.cls))
    if isinstance(kind, inspect.LiteralType):
        return kind.values[0]
    simple = {
        inspect.BoolType: True,
        inspect.IntType: NUMBER,
        inspect.FloatType: NUMBER + 0.5,
        inspect.StrType: TEXT,
        inspect.BytesType: TEXT.encode(),
        inspect.RawType: msgspec.Raw(msgspec.msgpack.encode(TEXT)),
        inspect.AnyType: TEXT,
    }
    return simple[type(kind)]


def write_samples() -> dict[str, Any]:
    """Return the samples of all messages as bytes, and of the instance's entry."""
    written = {}
    for message_type in message_types():
        value = sample(inspect.type_info(message_type))
        written[tag_of(message_type)] = {
            "fields": list(message_type.__struct_fields__),
            "bytes": msgspec.msgpack.encode(value).hex(),
        }
    return {"messages": written, "instance_entry": encode_peer(_Peer)}


class _Peer:
    """Attributes of an instance that its entry is made of."""

    host = "127.0.0.1"
    port = 7740
    data_centre = "zone-a"
    started_ms = 1_700_000_000_000
    capacity = 2.5


if __name__ == "__main__":
    json.dump(write_samples(), sys.stdout, indent=1, sort_keys=True)
    sys.stdout.write("\n")
