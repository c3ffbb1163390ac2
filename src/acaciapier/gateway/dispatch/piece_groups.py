"""Pieces of one request that wait together, and the worker calls that run them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..models import Piece, PieceResult, Worker

LARGE_TRANSFER_BYTES = 1_000_000
"""Size from which transfers of a group between data centres are avoided: over the
users' links between them, they cost more than a late answer is worth."""


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
        When the results are needed for the answer to be on time, if all later stages
        take their average time.
    latest_s : float
        When the results are needed if all later stages take their minimum time; after
        it, the answer is late in any case.
    expires_s : float
        When the results become useless.
    priority : int
        Priority of the request, 0 is the highest.
    value : float
        Value of an answer that is on time.
    data_centre : str
        Preferred data centre of the results.
    transfer_bytes : int
        Bytes transferred between data centres if the pieces run in another one.
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
    failed_calls: int = 0
    cancelled: bool = False
    may_run_at: Callable[[Worker], bool] | None = None
    """Whether a worker is in the allowed regions; None if all are."""

    def __post_init__(self):
        self.waiting = list(range(len(self.pieces)))

    @property
    def attempt(self) -> str:
        """Attempt that the pieces belong to."""
        return self.pieces[0].attempt

    def is_allowed_at(self, worker: Worker) -> bool:
        """Return whether a worker is in the regions that the request may enter."""
        return self.may_run_at is None or self.may_run_at(worker)

    @property
    def done(self) -> bool:
        """Whether every piece has its result."""
        return len(self.results) == len(self.pieces)

    @property
    def value_per_piece(self) -> float:
        """Value of the group divided by its number of pieces."""
        return self.value / len(self.pieces)

    def take(self, number: int, result: PieceResult) -> bool:
        """Take the first result of a piece; return False for any further one."""
        if number in self.results:
            return False
        self.results[number] = result
        if number in self.waiting:
            self.waiting.remove(number)
        return True

    def put_back(self, number: int) -> None:
        """Let a piece without a result wait again."""
        if number not in self.results and number not in self.waiting:
            self.waiting.append(number)


@dataclass(eq=False)
class StageCall:
    """One call to a worker; `parts` are its groups and the indices of their pieces."""

    worker: Worker
    parts: list[tuple[PieceGroup, list[int]]]
    expected_ms: float
    reserved_bytes: float
    expected_end_s: float = 0.0
    left: bool = False
    """Whether its pieces wait again, because its worker is silent."""

    @property
    def size(self) -> int:
        """Number of pieces."""
        return sum(len(numbers) for _, numbers in self.parts)

    def items(self) -> list[tuple[PieceGroup, int]]:
        """Return all pieces in the order in which they are sent."""
        return [(group, n) for group, numbers in self.parts for n in numbers]
