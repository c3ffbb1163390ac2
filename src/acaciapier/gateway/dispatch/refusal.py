"""Refusals of work, with the time after which a retry is worthwhile."""

from collections.abc import Sequence

from ...exceptions import AcaciapierError
from ...wire.messages.gateway import LimitedWorker

MIN_RETRY_MS = 250.0
"""Shortest retry delay of a refused request: the duration of a stage call."""

OTHER_WORKER_RETRY_MS = 300.0
"""Retry delay after the granted workers have left: by then another worker usually has a
free slot."""

DISPATCHER_CHANGE_RETRY_MS = 500.0
"""Retry delay if no dispatcher accepted the request: the instances agree on a new one
after two missed heartbeats."""

NO_WORKER_RETRY_MS = 1_000.0
"""Retry delay if a service has no workers: by then it usually has one again."""


TOO_MANY_PIECES = "too_many_pieces"
"""Cause of a refusal of more pieces than the workers can make before the deadline."""

CANCELLED = "cancelled"
"""Cause of a refusal of work that was withdrawn, or whose instance seemed down."""


class Refused(AcaciapierError):
    """Work was refused by its dispatcher, or no dispatcher accepted it.

    Parameters
    ----------
    cause : str
        Reason of the refusal.
    retry_after_ms : float
        Delay after which the caller should retry.
    limited : sequence of LimitedWorker, optional
        Limits of workers because of which it was refused.
    """

    def __init__(
        self, cause: str, retry_after_ms: float, limited: Sequence[LimitedWorker] = ()
    ):
        self.limited = limited
        self.cause = cause
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{cause}; retry after {retry_after_ms:.0f} ms")
