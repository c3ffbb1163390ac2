"""Deterministic outputs of simulated targets, derived from workspace and input.

Checkers call these functions to compute what a caller must have received.
"""

from typing import Any

import msgspec
import xxhash

TOKEN_MASK = 0xFFFF
VECTOR_LENGTH = 8
DEFAULT_DOCUMENTS = 10
PREFIX_WORDS = 16


def seed_of(scope: str, workspace: str, value: Any) -> int:
    """Return a 64-bit hash of a workspace and an input, regardless of key order."""
    encoded = msgspec.json.encode([scope, workspace, value], order="sorted")
    return xxhash.xxh64_intdigest(encoded)


def generation_seed(workspace: str, value: Any) -> int:
    """Return the seed from which an engine derives the tokens of a generation."""
    return seed_of("generate", workspace, value)


def token_at(seed: int, offset: int) -> str:
    """Return the token at `offset` of the generation with `seed`."""
    digest = xxhash.xxh64_intdigest(offset.to_bytes(4, "little"), seed)
    return f"{digest & TOKEN_MASK:04x} "


def expected_tokens(workspace: str, value: Any, count: int) -> list[str]:
    """Return the first `count` tokens that any engine generates for this input.

    Examples
    --------
    >>> expected_tokens("bowls", {"text": "quote"}, 0)
    []
    """
    seed = generation_seed(workspace, value)
    return [token_at(seed, offset) for offset in range(count)]


def expected_output(
    serves: str, workspace: str, value: Any, parameters: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return the output of a pool or service for an input.

    Parameters
    ----------
    serves : str
        ``encode``, ``retrieve``, ``rerank`` or ``service``.
    workspace : str
        Workspace of the request.
    value : Any
        Input of the call, as JSON.
    parameters : dict, optional
        Parameters of the call; ``documents`` is the number of documents to retrieve.
    """
    seed = seed_of(serves, workspace, value)
    if serves == "encode":
        return {"vector": [_fraction_at(seed, index) for index in range(VECTOR_LENGTH)]}
    if serves == "retrieve":
        count = int((parameters or {}).get("documents", DEFAULT_DOCUMENTS))
        return {"documents": [_document_at(seed, index) for index in range(count)]}
    if serves == "rerank":
        return {"documents": _rerank(seed, documents_in(value))}
    return {"result": f"{seed:016x}"}


def units_of(serves: str, value: Any, parameters: dict[str, Any]) -> dict[str, float]:
    """Return the units that a call to a pool or service uses."""
    if serves == "encode":
        return {"tokens": float(count_words(value))}
    if serves == "retrieve":
        documents = float(parameters.get("documents", DEFAULT_DOCUMENTS))
        return {"queries": 1.0, "documents": documents}
    if serves == "rerank":
        return {"pairs": float(len(documents_in(value)))}
    return {"calls": 1.0}


def text_of(value: Any) -> str:
    """Return the text of an input: its `prefix` and `text`, or the input as JSON."""
    if isinstance(value, str):
        return value
    if isinstance(value, dict) and isinstance(value.get("text"), str):
        return f"{value.get('prefix') or ''} {value['text']}".strip()
    return msgspec.json.encode(value, order="sorted").decode()


def count_words(value: Any) -> int:
    """Return the number of words of an input; each counts as one token."""
    return len(text_of(value).split())


def prefix_of(value: Any) -> str:
    """Return the part of an input that engines cache: `prefix` or its first words."""
    if isinstance(value, dict) and isinstance(value.get("prefix"), str):
        return value["prefix"]
    return " ".join(text_of(value).split()[:PREFIX_WORDS])


def documents_in(value: Any) -> list[Any]:
    """Return the first list under a key `documents` at any depth of an input."""
    if isinstance(value, dict):
        if isinstance(value.get("documents"), list):
            return value["documents"]
        parts = list(value.values())
    else:
        parts = value if isinstance(value, list) else []
    for part in parts:
        found = documents_in(part)
        if found:
            return found
    return []


def is_poison(value: Any) -> bool:
    """Return whether an input has ``"poison": true`` at any depth."""
    if isinstance(value, dict):
        return value.get("poison") is True or any(map(is_poison, value.values()))
    return isinstance(value, list) and any(map(is_poison, value))


def _fraction_at(seed: int, index: int) -> float:
    digest = xxhash.xxh64_intdigest(index.to_bytes(4, "little"), seed)
    return (digest % 10_000) / 10_000


def _document_at(seed: int, index: int) -> dict[str, Any]:
    digest = xxhash.xxh64_intdigest(index.to_bytes(4, "little"), seed)
    return {"id": f"doc-{digest & TOKEN_MASK:04x}", "score": _fraction_at(seed, index)}


def _rerank(seed: int, documents: list[Any]) -> list[Any]:
    order = sorted(range(len(documents)), key=lambda index: _fraction_at(seed, index))
    return [documents[index] for index in order]
