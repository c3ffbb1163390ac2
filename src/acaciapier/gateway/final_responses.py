"""Final responses to requests that no worker answered with success."""

from ..http.caller import Exchange
from ..platform import requests as request_format
from .dispatch.refusal import Refused
from .request_state import RequestFailed, RequestState
from .response_heads import response_headers

MIN_RETRY_AFTER_S = 0.2
"""Minimum Retry-After of a refused request."""

RETRY_AFTER_SHARE = 1 / 3
"""Callers honour a Retry-After of at most this share of their remaining time."""


async def refuse(exchange: Exchange, status: int, after_s: float) -> None:
    """State that a request has not run, and when to come back."""
    await exchange.respond(status, request_format.refusal_headers(after_s))


def retry_after_s(retry_after_ms: float, left_s: float) -> float:
    """Return the Retry-After of a request that is refused `left_s` before its end."""
    after_s = max(MIN_RETRY_AFTER_S, retry_after_ms / 1_000.0)
    return min(after_s, max(MIN_RETRY_AFTER_S, left_s * RETRY_AFTER_SHARE))


async def respond_refused(
    state: RequestState, exchange: Exchange, refused: Refused, left_s: float
) -> tuple[str, dict]:
    """End a request for which there is no worker, `left_s` before its deadline."""
    if exchange.started:
        exchange.abort()
        return "failed", {"cause": refused.cause}
    if state.may_have_run:
        await exchange.respond(502, [])
        return "failed", {"cause": refused.cause}
    after_s = retry_after_s(refused.retry_after_ms, left_s)
    await refuse(exchange, 503, after_s)
    fields = {"cause": refused.cause, "retry_after_s": round(after_s, 3)}
    if refused.limited:
        fields["limited"] = [
            [one.worker, one.per_s, one.sends] for one in refused.limited
        ]
    return "refused", fields


async def respond_failed(exchange: Exchange, failed: RequestFailed) -> tuple[str, dict]:
    """End a request that failed at its worker, with that worker's answer if any."""
    if exchange.started:
        exchange.abort()
    elif failed.response is not None:
        head, body = failed.response
        if failed.reservation is not None:
            failed.reservation.pass_on(exchange.abort)
        await exchange.respond(head.status, response_headers(head), body)
    else:
        await exchange.respond(502, [])
    return "failed", {"cause": failed.cause}


async def end_unanswered(exchange: Exchange, may_have_run: bool, status: int) -> None:
    """End a request that got no answer, with `status` if it may have run."""
    if exchange.ended:
        return
    if exchange.started:
        exchange.abort()
    elif may_have_run:
        await exchange.respond(status, [])
    else:
        await refuse(exchange, 503, MIN_RETRY_AFTER_S)
