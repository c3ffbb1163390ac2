"""Outcome classes and the causes of refusals and failures."""

from enum import Enum


class Outcome(Enum):
    """What is known about a request, or one call of a stage, once it has ended."""

    DONE = "done"
    """It completed, exactly once from its caller's point of view."""

    NOT_RUN = "not_run"
    """It is proven that no part of it ran; it may be sent again."""

    UNKNOWN = "unknown"
    """It ran in part, or may have run; only repeatable work may be sent again."""


class Cause(Enum):
    """Why a request or a call of a stage was refused or failed."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_PIPELINE = "unknown_pipeline"
    UNKNOWN_REQUEST = "unknown_request"
    TOO_LARGE = "too_large"
    ID_REUSED = "id_reused"
    ID_EXPIRED = "id_expired"
    DUPLICATE = "duplicate"
    ANSWER_GONE = "answer_gone"
    RECOVERED = "recovered"
    BLOCKED = "blocked"
    RATE_LIMIT = "rate_limit"
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    NO_TARGET = "no_target"
    STORE_UNAVAILABLE = "store_unavailable"
    SHUTTING_DOWN = "shutting_down"
    STALE_CONFIGURATION = "stale_configuration"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    TARGET_CRASHED = "target_crashed"
    BAD_ANSWER = "bad_answer"
    CANCELLED = "cancelled"
    INTERNAL = "internal"
