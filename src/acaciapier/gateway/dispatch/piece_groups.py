"""Pieces that wait together, and the calls in which they are made."""

from dataclasses import dataclass, field

from ..models import Piece, PieceResult, Worker


@dataclass(eq=False)
class PieceGroup:
    """All pieces of one stage of one request.

    Parameters
    ----------
    owner : str
        Instance that serves the request.
    pieces : list of Piece
        The pieces, in order.
    result_bytes : int
        Size of one result.
    due_s : float
        When the results are wanted for an answer in time, as things usually go.
    latest_s : float
        From when on the answer is late in any case.
    expires_s : float
        When they become useless.
    priority : int
        Rank of the request, 0 first.
    value : float
        What an answer in time is worth.
    data_centre : str
        Where the results are best made.
    transfer_bytes : int
        What is transferred between data centres if they are made elsewhere.
    """

    owner: str
    pieces: list[Piece]
    result_bytes: int
    due_s: float
    latest_s: float
    expires_s: float
    priority: int
    value: float
    data_centre: str = ""
    transfer_bytes: int = 0
    results: dict[int, PieceResult] = field(default_factory=dict)
    waiting: list[int] = field(default_factory=list)
    tries: int = 0
    cancelled: bool = False

    def __post_init__(self):
        self.waiting = list(range(len(self.pieces)))

    @property
    def attempt(self) -> str:
        """Attempt that the pieces belong to."""
        return self.pieces[0].attempt

    @property
    def done(self) -> bool:
        """Whether every piece has its result."""
        return len(self.results) == len(self.pieces)

    @property
    def density(self) -> float:
        """Value of a piece."""
        return self.value / len(self.pieces)


@dataclass(eq=False)
class StageCall:
    """One call to a worker: numbers of pieces by group."""

    worker: Worker
    parts: list[tuple[PieceGroup, list[int]]]
    expected_ms: float
    reserved_bytes: float
    ends_s: float = 0.0

    @property
    def size(self) -> int:
        """Number of pieces."""
        return sum(len(numbers) for _, numbers in self.parts)

    def items(self) -> list[tuple[PieceGroup, int]]:
        """Return all pieces in the order in which they are sent."""
        return [(group, n) for group, numbers in self.parts for n in numbers]
