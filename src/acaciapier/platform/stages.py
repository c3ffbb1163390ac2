"""Request and response bodies of calls to stage workers."""

from collections.abc import Sequence

import msgspec

from ..gateway.models import MAX_HANDLE_BYTES, Piece, PieceFailure, PieceResult

RUN_PATH = b"/api/stage-run"
FREE_PATH = b"/api/stage-free"


class _Item(msgspec.Struct, omit_defaults=True):
    # `segment` is the index of the piece within its stage.
    id: str
    stage: int
    segment: int
    remaining_ms: int = 0
    key: str | None = None
    inputs: list[str] | None = None


class _Run(msgspec.Struct):
    items: list[_Item]


class _Outcome(msgspec.Struct):
    handle: str | None = None
    reason: str | None = None


class _Outcomes(msgspec.Struct):
    items: list[_Outcome]


def encode_run(pieces: Sequence[tuple[Piece, float]]) -> bytes:
    """Encode a call that runs pieces, each given with its remaining time in ms."""
    return msgspec.json.encode(_Run([_item(*entry) for entry in pieces]))


def decode_run(body: bytes, count: int) -> list[PieceResult]:
    """Decode the response to a call that runs `count` pieces.

    Raises
    ------
    ValueError
        If it is malformed or has another number of outcomes.
    """
    try:
        outcomes = msgspec.json.decode(body, type=_Outcomes).items
    except msgspec.MsgspecError as error:
        raise ValueError(f"malformed answer of a stage worker: {error}") from error
    if len(outcomes) != count:
        raise ValueError(f"{len(outcomes)} outcomes for {count} pieces")
    return [_result(outcome) for outcome in outcomes]


def decode_handles(body: bytes) -> list[str]:
    """Decode the handles in a response to a call; none if it is malformed."""
    try:
        outcomes = msgspec.json.decode(body, type=_Outcomes).items
    except msgspec.MsgspecError:
        return []
    return [outcome.handle for outcome in outcomes if outcome.handle]


def encode_free(handles: Sequence[str]) -> bytes:
    """Encode a call that frees results."""
    return msgspec.json.encode({"handles": list(handles)})


def _item(piece: Piece, remaining_ms: float) -> _Item:
    return _Item(
        piece.attempt,
        piece.stage,
        piece.number,
        max(1, int(remaining_ms)),
        None if piece.inputs else piece.key,
        list(piece.inputs) or None,
    )


def _result(outcome: _Outcome) -> PieceResult:
    if outcome.handle and len(outcome.handle) <= MAX_HANDLE_BYTES:
        return PieceResult(outcome.handle)
    try:
        return PieceResult(None, PieceFailure(outcome.reason))
    except ValueError:
        return PieceResult(None, PieceFailure.ERROR)
