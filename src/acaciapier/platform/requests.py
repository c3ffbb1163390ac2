"""Headers of callers' requests and of workers' responses."""

import re
from collections.abc import Sequence

from ..gateway.models import (
    AttemptId,
    RequestMetadata,
    ResponseMetadata,
    Resumption,
)
from ..gateway.prompt_parts import PartId, PromptPart, PromptParts
from ..http.client import Headers, ResponseHead, end_to_end_headers
from .workers import MAX_COLD_MS, decode_load, is_malformed_load

READY_PATH = b"/api/readyz"
ATTEMPT_HEADER = b"attempt-id"
DEADLINE_HEADER = b"deadline-ms"
KEY_HEADER = b"key"
TENANT_HEADER = b"tenant"
INPUTS_HEADER = b"inputs"
EXPECT_WORKER_HEADER = b"expect-instance"
LEAVING_HEADER = b"server-leaving"
RETRY_AFTER_HEADER = b"retry-after"
LAST_EVENT_HEADER = b"last-event-id"
RESUMES_HEADER = b"resumes"
LIMIT_HEADER = b"server-limit"
BRITTLE_HEADER = b"server-brittle"
COLD_HEADER = b"cold-ms"
UNAVAILABLE_STATUS = 503
WRONG_WORKER_STATUS = 421
NOT_RUN_STATUSES = frozenset({408, WRONG_WORKER_STATUS, 429, UNAVAILABLE_STATUS})
"""Statuses from which callers conclude that a request did not run."""

INPUTS_MISSING_STATUS = 409

DECIMAL_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
"""Excludes what `float` also accepts, such as "inf", "nan" and "1_0"."""

INTEGER_PATTERN = re.compile(rb"[0-9]{1,15}")
COUNT_PATTERN = re.compile(r"[0-9]{1,15}")

ATTEMPT_PATTERN = re.compile(rb"[!-~]{1,256}")
"""An attempt's id: visible ASCII characters without spaces."""

MS_PER_S = 1_000.0

# Headers that the gateway sets itself; those from callers are never forwarded.
RESERVED = frozenset(
    {
        KEY_HEADER,
        TENANT_HEADER,
        DEADLINE_HEADER,
        EXPECT_WORKER_HEADER,
        INPUTS_HEADER,
        b"expect-version",
        b"request-priority",
        b"hold",
        b"pin-ms",
        b"kv-from",
        b"kv-fetch",
        b"kv-backup",
    }
)


def decode_request_metadata(headers: dict[bytes, bytes]) -> RequestMetadata:
    """Decode the metadata headers of a request; malformed values count as absent."""
    counts = headers.get(b"token-count", b"").split(b",")
    tokens = [_parse_int(count) for count in counts]
    return RequestMetadata(
        attempt=AttemptId(headers.get(ATTEMPT_HEADER, b"").decode("latin-1")),
        deadline_ms=_parse_positive(headers.get(DEADLINE_HEADER)),
        key=headers[KEY_HEADER].decode("latin-1") if KEY_HEADER in headers else None,
        prompt_tokens=tokens[0] or 0,
        output_tokens=(tokens[1] or 0) if len(tokens) > 1 else 0,
        parts=_parse_parts(headers.get(b"prompt-prefix", b"")),
        piece_counts=_parse_counts(headers.get(b"chunk-count", b"")),
        piece_key=headers.get(b"chunk-key", b"").decode("latin-1"),
    )


def decode_resumption(headers: Headers) -> Resumption | None:
    """Decode which stream a request resumes; None if it begins a new one.

    Raises
    ------
    ValueError
        If the attempt's id is malformed, or if a header is given twice.
    """
    events = _get_all(headers, LAST_EVENT_HEADER)
    attempts = _get_all(headers, RESUMES_HEADER)
    if len(events) > 1 or len(attempts) > 1:
        raise ValueError("a header of a resumed stream is given twice")
    if attempts and not ATTEMPT_PATTERN.fullmatch(attempts[0]):
        raise ValueError(f"malformed id of an attempt: {attempts[0][:64]!r}")
    if not events or not events[0]:
        return None
    attempt = AttemptId(attempts[0].decode("ascii")) if attempts else None
    return Resumption(events[0].decode("latin-1"), attempt)


def forwarded_headers(
    headers: Headers,
    deadline_ms: float,
    worker: str,
    workspace: str | None,
    inputs: Sequence[str],
    resume_after: str | None = None,
) -> Headers:
    """Return the headers of a caller's request as they are sent to a worker.

    Parameters
    ----------
    headers : list
        Headers from the caller.
    deadline_ms : float
        Remaining time until the deadline.
    worker : str
        Id of the worker that the request is for.
    workspace : str or None
        Workspace of the caller's key.
    inputs : sequence of str
        Handles of the stage results that the worker reads.
    resume_after : str or None
        Id of the last event that the caller has received, to resume a stream.
    """
    removed = RESERVED | {b"content-length", b"expect"}
    if resume_after is not None:
        removed |= {LAST_EVENT_HEADER}
    sent = [
        (name, value)
        for name, value in end_to_end_headers(headers)
        if name.lower() not in removed
    ]
    sent.append((b"Deadline-Ms", str(max(1, int(deadline_ms))).encode()))
    sent.append((b"Expect-Instance", worker.encode()))
    if workspace is not None:
        sent.append((b"Tenant", workspace.encode()))
    if inputs:
        sent.append((b"Inputs", ",".join(inputs).encode()))
    if resume_after is not None:
        sent.append((b"Last-Event-Id", resume_after.encode()))
    return sent


def worker_call_headers(worker: str) -> Headers:
    """Return the headers of a call that the gateway itself makes to a worker."""
    return [
        (b"Host", b"worker"),
        (b"Content-Type", b"application/json"),
        (b"Expect-Instance", worker.encode()),
    ]


def decode_response_metadata(head: ResponseHead) -> ResponseMetadata:
    """Decode the metadata of a response from its status and headers."""
    wrong_worker = head.status == WRONG_WORKER_STATUS
    not_run = wrong_worker or head.get(b"not-run") is not None
    attempt = head.get(ATTEMPT_HEADER)
    load = (head.get(b"server-load") or b"").decode("latin-1")
    retry_after_ms, malformed = _parse_retry_after(head)
    limit_per_s, malformed_limits = _parse_limits(head)
    brittle_rejections, malformed_brittle = _parse_brittle(head)
    cold_ms, malformed_cold = _parse_cold(head)
    return ResponseMetadata(
        attempt=None if attempt is None else attempt.decode("latin-1"),
        # The seal proves that the body comes from the worker.
        has_seal=head.get(b"server-seal") is not None,
        not_run=not_run,
        promises_not_run=head.status in NOT_RUN_STATUSES,
        wrong_worker=wrong_worker,
        inputs_missing=not_run and head.status == INPUTS_MISSING_STATUS,
        closes_connection=(head.get(b"connection") or b"").lower() == b"close",
        load=decode_load(load) if load else None,
        leaving=(head.get(LEAVING_HEADER) or b"").strip() == b"1",
        retry_after_ms=retry_after_ms,
        malformed_retry_after=malformed,
        limit_per_s=limit_per_s,
        malformed_limits=malformed_limits,
        brittle_rejections=brittle_rejections,
        malformed_brittle=malformed_brittle,
        cold_ms=cold_ms,
        malformed_cold=malformed_cold,
        malformed_load=load if load and is_malformed_load(load) else None,
    )


def refusal_headers(after_s: float) -> Headers:
    """Return the headers that tell a caller when to retry."""
    return [(b"Retry-After", f"{after_s:.3f}".encode())]


def _get_all(headers: Headers, name: bytes) -> list[bytes]:
    return [value.strip() for key, value in headers if key.lower() == name]


def _parse_retry_after(head: ResponseHead) -> tuple[float | None, str | None]:
    """Return the time that a refusal names, in ms, or else its malformed text."""
    value = head.get(RETRY_AFTER_HEADER)
    if head.status != UNAVAILABLE_STATUS or value is None:
        return None, None
    text = value.decode("latin-1").strip()
    if not DECIMAL_PATTERN.fullmatch(text):
        return None, text
    return float(text) * MS_PER_S, None


def _parse_limits(head: ResponseHead) -> tuple[float | None, tuple[str, ...]]:
    """Return the lowest limit that a response names, and the malformed ones."""
    texts = [value.decode("latin-1").strip() for value in head.get_all(LIMIT_HEADER)]
    limits = [float(text) for text in texts if DECIMAL_PATTERN.fullmatch(text)]
    malformed = [text for text in texts if not DECIMAL_PATTERN.fullmatch(text)]
    return min(limits, default=None), tuple(malformed)


def _parse_brittle(head: ResponseHead) -> tuple[int | None, tuple[str, ...]]:
    """Return the fewest rejections that a response names, and malformed numbers."""
    texts = [value.decode("latin-1").strip() for value in head.get_all(BRITTLE_HEADER)]
    counts = [int(text) for text in texts if COUNT_PATTERN.fullmatch(text)]
    malformed = [text for text in texts if not COUNT_PATTERN.fullmatch(text)]
    return min(counts, default=None), tuple(malformed)


def _parse_cold(head: ResponseHead) -> tuple[float | None, tuple[str, ...]]:
    """Return the longest cold time that a response names, and the ignored ones."""
    if head.get(COLD_HEADER) is None:
        return None, ()
    texts = [value.decode("latin-1").strip() for value in head.get_all(COLD_HEADER)]
    times = [float(text) for text in texts if DECIMAL_PATTERN.fullmatch(text)]
    sound = [time_ms for time_ms in times if time_ms <= MAX_COLD_MS]
    if len(sound) == len(texts):
        return max(sound), ()
    ignored = [
        text
        for text in texts
        if not DECIMAL_PATTERN.fullmatch(text) or float(text) > MAX_COLD_MS
    ]
    return max(sound, default=None), tuple(ignored)


def _parse_parts(value: bytes) -> PromptParts:
    parts = []
    for part in value.split(b","):
        name, _, tokens = part.strip().rpartition(b":")
        count = _parse_int(tokens)
        if name and count is not None:
            parts.append(PromptPart(PartId(name.decode("latin-1")), count))
    return PromptParts(parts)


def _parse_counts(value: bytes) -> tuple[int, ...]:
    if not value:
        return ()
    return tuple(_parse_int(count) or 0 for count in value.split(b","))


def _parse_int(value: bytes) -> int | None:
    value = value.strip()
    return int(value) if INTEGER_PATTERN.fullmatch(value) else None


def _parse_positive(value: bytes | None) -> float | None:
    if value is None:
        return None
    number = _parse_int(value)
    return float(number) if number else None
