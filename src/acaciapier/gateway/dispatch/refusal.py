"""Refusals of work, with the time after which a retry is worthwhile."""

from ...exceptions import AcaciapierError

MIN_RETRY_MS = 250.0
"""Shortest retry delay of a refused request: the duration of a stage call."""

OTHER_WORKER_RETRY_MS = 300.0
"""Time in which another worker usually has a free slot again."""

UNKNOWN_RETRY_MS = 500.0
"""Time in which the instances agree on a dispatcher again: two missed heartbeats."""

NO_WORKER_RETRY_MS = 1_000.0
"""Time in which a service without workers usually has one again."""


class Refused(AcaciapierError):
    """The fleet refused work before any part of it ran.

    Parameters
    ----------
    cause : str
        Reason of the refusal.
    retry_after_ms : float
        Delay after which the caller should retry.
    """

    def __init__(self, cause: str, retry_after_ms: float):
        self.cause = cause
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{cause}; retry after {retry_after_ms:.0f} ms")
