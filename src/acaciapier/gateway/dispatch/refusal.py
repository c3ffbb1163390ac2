"""Work that the fleet refuses, and when it is worth another try."""

from ...exceptions import AcaciapierError

MIN_RETRY_MS = 250.0
"""Shortest time after which a refused request is asked back: a call of a stage."""

OTHER_WORKER_RETRY_MS = 300.0
"""Time in which another worker usually has a place again."""

UNKNOWN_RETRY_MS = 500.0
"""Time in which the instances agree again on who decides: two missed heartbeats."""

NO_WORKER_RETRY_MS = 1_000.0
"""Time in which a service without workers usually has one again."""


class Refused(AcaciapierError):
    """The fleet refused work; nothing of it ran.

    Parameters
    ----------
    cause : str
        Why.
    retry_after_ms : float
        When to come back.
    """

    def __init__(self, cause: str, retry_after_ms: float):
        self.cause = cause
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{cause}; retry after {retry_after_ms:.0f} ms")
