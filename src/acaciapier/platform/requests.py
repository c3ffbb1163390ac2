"""Headers of callers' requests and of workers' answers."""

from collections.abc import Sequence

from ..gateway.models import AnswerTerms, AttemptId, PromptPart, RequestTerms
from ..http.client import AnswerHead, Headers, end_to_end_headers
from .workers import decode_load

READY_PATH = b"/api/readyz"
ATTEMPT = b"attempt-id"
DEADLINE = b"deadline-ms"
KEY = b"key"
TENANT = b"tenant"
INPUTS = b"inputs"
EXPECT_WORKER = b"expect-instance"
WRONG_WORKER_STATUS = 421
INPUTS_GONE_STATUS = 409

# Headers that the system sets itself; a caller's own never reach a worker.
RESERVED = frozenset(
    {
        KEY,
        TENANT,
        DEADLINE,
        EXPECT_WORKER,
        INPUTS,
        b"expect-version",
        b"request-priority",
        b"hold",
        b"pin-ms",
        b"kv-from",
        b"kv-fetch",
        b"kv-backup",
    }
)


def decode_terms(headers: dict[bytes, bytes]) -> RequestTerms:
    """Decode what a request says about itself; malformed parts count as absent."""
    counts = headers.get(b"token-count", b"").split(b",")
    tokens = [_number(one) for one in counts]
    return RequestTerms(
        attempt=AttemptId(headers.get(ATTEMPT, b"").decode("latin-1")),
        deadline_ms=_positive(headers.get(DEADLINE)),
        key=headers[KEY].decode("latin-1") if KEY in headers else None,
        prompt_tokens=tokens[0] or 0,
        output_tokens=(tokens[1] or 0) if len(tokens) > 1 else 0,
        parts=_parts(headers.get(b"prompt-prefix", b"")),
        piece_counts=_counts(headers.get(b"chunk-count", b"")),
        piece_key=headers.get(b"chunk-key", b"").decode("latin-1"),
    )


def forwarded_headers(
    headers: Headers,
    deadline_ms: float,
    worker: str,
    tenant: str | None,
    inputs: Sequence[str],
    resume_after: str | None = None,
) -> Headers:
    """Return the headers with which a caller's request goes to a worker.

    Parameters
    ----------
    headers : list
        The caller's.
    deadline_ms : float
        Time that is left.
    worker : str
        Id of the worker that is meant.
    tenant : str or None
        Workspace of the caller's key.
    inputs : sequence of str
        Handles of the stage results that the worker reads.
    resume_after : str or None
        Id of the last event of a stream that the caller has got.
    """
    dropped = RESERVED | {b"content-length", b"expect"}
    if resume_after is not None:
        dropped |= {b"last-event-id"}
    sent = [
        (name, value)
        for name, value in end_to_end_headers(headers)
        if name.lower() not in dropped
    ]
    sent.append((b"Deadline-Ms", str(max(1, int(deadline_ms))).encode()))
    sent.append((b"Expect-Instance", worker.encode()))
    if tenant is not None:
        sent.append((b"Tenant", tenant.encode()))
    if inputs:
        sent.append((b"Inputs", ",".join(inputs).encode()))
    if resume_after is not None:
        sent.append((b"Last-Event-Id", resume_after.encode()))
    return sent


def worker_call_headers(worker: str) -> Headers:
    """Return the headers of a call of the system's own to a worker."""
    return [
        (b"Host", b"worker"),
        (b"Content-Type", b"application/json"),
        (b"Expect-Instance", worker.encode()),
    ]


def decode_answer(head: AnswerHead) -> AnswerTerms:
    """Decode what an answer says besides its body."""
    wrong_worker = head.status == WRONG_WORKER_STATUS
    not_run = wrong_worker or head.get(b"not-run") is not None
    attempt = head.get(ATTEMPT)
    load = head.get(b"server-load")
    return AnswerTerms(
        attempt=None if attempt is None else attempt.decode("latin-1"),
        # The mark proves that the body is the worker's.
        marked=head.get(b"server-seal") is not None,
        not_run=not_run,
        wrong_worker=wrong_worker,
        inputs_gone=not_run and head.status == INPUTS_GONE_STATUS,
        leaving=(head.get(b"connection") or b"").lower() == b"close",
        load=None if load is None else decode_load(load.decode("latin-1")),
    )


def refusal_headers(after_s: float) -> Headers:
    """Return the headers that tell a caller when to come back."""
    return [(b"Retry-After", f"{after_s:.3f}".encode())]


def _parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for one in value.split(b","):
        name, _, tokens = one.strip().rpartition(b":")
        count = _number(tokens)
        if name and count is not None:
            parts.append(PromptPart(name.decode("latin-1"), count))
    return tuple(parts)


def _counts(value: bytes) -> tuple[int, ...]:
    if not value:
        return ()
    return tuple(_number(one) or 0 for one in value.split(b","))


def _number(value: bytes) -> int | None:
    value = value.strip()
    return int(value) if value.isdigit() else None


def _positive(value: bytes | None) -> float | None:
    if value is None:
        return None
    number = _number(value)
    return float(number) if number else None
