"""Orders to a model engine: wanted state, fencing and the weights in memory."""

import msgspec


class Wanted(msgspec.Struct, frozen=True):
    """The whole state that an order asks for."""

    model: str
    model_version: str
    adapters: tuple[str, ...] = ()
    role: str = "both"


class Order(msgspec.Struct, frozen=True):
    """One order with its fencing number."""

    fencing_number: int
    wanted: Wanted


class EngineState(msgspec.Struct, frozen=True):
    """What an engine runs now."""

    model: str
    model_version: str
    adapters: tuple[str, ...]
    role: str
    loading: bool
    highest_fencing_number: int


class StaleFencingNumber(Exception):
    """An order carried a lower number than an earlier one."""

    def __init__(self, highest: int):
        self.highest = highest
        super().__init__(f"an order with fencing number {highest} was taken before")


class OrderDesk:
    """Takes orders and knows which weights must be loaded.

    Parameters
    ----------
    present : Wanted
        What the engine runs at its start.
    checks_fencing : bool
        Whether orders with an old number are refused.
    """

    def __init__(self, present: Wanted, checks_fencing: bool):
        self.present = present
        self.wanted = present
        self.highest = 0
        self._checks_fencing = checks_fencing

    @property
    def must_load(self) -> bool:
        """Return whether other weights are wanted than are in memory."""
        present = (self.present.model, self.present.model_version)
        return present != (self.wanted.model, self.wanted.model_version)

    def take(self, order: Order) -> None:
        """Accept an order; raises `StaleFencingNumber` if this engine checks."""
        if self._checks_fencing:
            if order.fencing_number < self.highest:
                raise StaleFencingNumber(self.highest)
            self.highest = order.fencing_number
        self.wanted = order.wanted
        if not self.must_load:
            self.present = order.wanted

    def finish_load(self, loaded: Wanted) -> None:
        """Record that the weights of `loaded` are in memory."""
        self.present = loaded
        if not self.must_load:
            self.present = self.wanted

    def state(self) -> EngineState:
        """Return the state as the engine reports it."""
        present = self.present
        return EngineState(
            model=present.model,
            model_version=present.model_version,
            adapters=present.adapters,
            role=present.role,
            loading=self.must_load,
            highest_fencing_number=self.highest,
        )
