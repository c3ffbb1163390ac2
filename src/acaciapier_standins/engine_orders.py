"""Orders to a model engine: desired state, fencing and loaded weights."""

import msgspec


class Wanted(msgspec.Struct, frozen=True):
    """The complete desired state that an order requests."""

    model: str
    model_version: str
    adapters: tuple[str, ...] = ()
    role: str = "both"


class Order(msgspec.Struct, frozen=True):
    """Request to bring the engine into a state, with its fencing number."""

    fencing_number: int
    wanted: Wanted


class EngineState(msgspec.Struct, frozen=True):
    """Current state of an engine, as load reports show it."""

    model: str
    model_version: str
    adapters: tuple[str, ...]
    role: str
    loading: bool
    highest_fencing_number: int


class StaleFencingNumber(Exception):
    """An order has a lower fencing number than an earlier one."""

    def __init__(self, highest: int):
        self.highest = highest
        super().__init__(f"an order with fencing number {highest} was already accepted")


class OrderTracker:
    """Current and desired state of an engine, updated by orders.

    Parameters
    ----------
    current : Wanted
        State of the engine at startup.
    checks_fencing : bool
        Whether orders with a stale fencing number are refused.
    """

    def __init__(self, current: Wanted, checks_fencing: bool):
        self.current = current
        self.wanted = current
        self.highest = 0
        self._checks_fencing = checks_fencing

    @property
    def must_load(self) -> bool:
        """Return whether the desired weights differ from the loaded ones."""
        current = (self.current.model, self.current.model_version)
        return current != (self.wanted.model, self.wanted.model_version)

    def accept(self, order: Order) -> None:
        """Accept an order; raises `StaleFencingNumber` if fencing is checked."""
        if self._checks_fencing:
            if order.fencing_number < self.highest:
                raise StaleFencingNumber(self.highest)
            self.highest = order.fencing_number
        self.wanted = order.wanted
        if not self.must_load:
            self.current = order.wanted

    def finish_load(self, loaded: Wanted) -> None:
        """Record that the weights of `loaded` have been loaded."""
        self.current = loaded
        if not self.must_load:
            self.current = self.wanted

    def state(self) -> EngineState:
        """Return the current state, as load reports show it."""
        current = self.current
        return EngineState(
            model=current.model,
            model_version=current.model_version,
            adapters=current.adapters,
            role=current.role,
            loading=self.must_load,
            highest_fencing_number=self.highest,
        )
