"""Parts of prompts, whose number callers decide."""

from array import array
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NewType

PartId = NewType("PartId", str)
"""Id of one part of a prompt."""

SEPARATOR = "\n"
"""Separates ids; headers, from which they come, have no line breaks."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; requests that share leading parts share cached tokens."""

    id: PartId
    tokens: int


class PromptParts:
    """Parts of a prompt in order, in about the memory of the header that names them.

    A request keeps them until it ends, and an object for each part would take many
    times as much.

    Parameters
    ----------
    parts : iterable of PromptPart
        The parts; ids with line breaks are not allowed.
    """

    __slots__ = ("_ids", "_tokens")

    def __init__(self, parts: Iterable[PromptPart] = ()):
        ids, self._tokens = [], array("Q")
        for part in parts:
            ids.append(part.id)
            self._tokens.append(part.tokens)
        self._ids = SEPARATOR.join(ids)

    def __len__(self) -> int:
        return len(self._tokens)

    def __iter__(self) -> Iterator[PromptPart]:
        if self._tokens:
            ids = self._ids.split(SEPARATOR)
            yield from map(PromptPart, ids, self._tokens)

    def __eq__(self, other) -> bool:
        return isinstance(other, PromptParts) and tuple(self) == tuple(other)

    def __hash__(self) -> int:
        return hash(self._ids)
