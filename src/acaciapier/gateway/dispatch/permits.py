"""Permits of this instance to send requests to workers."""

import math
from dataclasses import dataclass

from ...core.ids import InstanceId
from ...wire.messages.gateway import LimitedWorker
from ..models import Worker, WorkerLoad
from .outcomes import OUTCOME_CANCELLED


@dataclass(eq=False)
class Permit:
    """The right of this instance to send one request to one worker."""

    name: str
    service: str
    worker: Worker
    prompt_tokens: int
    output_tokens: int
    dispatchers: tuple[InstanceId, ...]
    """Those that count its slot, the current dispatcher last."""
    granted_s: float
    usable_until_s: float = math.inf
    limited: LimitedWorker | None = None
    """The worker's limit, to which the grant keeps."""
    waited_ms: float = 0.0
    outcome: str = OUTCOME_CANCELLED
    retry_after_ms: float = 0.0
    """For how long the worker wants no further requests from this instance."""
    limit_per_s: float | None = None
    """Limit that the worker named in its answer, until it is reported."""
    without_limit: bool = False
    """Whether the worker's own answer named none."""
    brittle_rejections: int | None = None
    """Rejections a second that the worker said to survive, until reported."""
    not_brittle: bool = False
    """Whether the worker's own answer said nothing of this."""
    load: WorkerLoad | None = None
    """Load that the worker reported in its answer, until it is passed on."""
