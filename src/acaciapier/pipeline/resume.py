"""Signed tokens with which a caller resumes a stream on any instance."""

import base64
import hashlib
import hmac
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

SIGNATURE_BYTES = 16
MAX_TOKEN_CHARS = 4096


class ResumeClaim(msgspec.Struct, frozen=True, array_like=True):
    """What a resume token says: whose run it is and which engine streams it."""

    workspace: str
    request_id: str
    run_id: str
    pipeline: str
    configuration_number: int
    instance: str
    target: str
    target_incarnation: int
    target_url: str
    pool: str
    stream_id: str
    expires_ms: int
    fingerprint: str = ""


class ResumeTokens:
    """Signs and checks resume tokens.

    Parameters
    ----------
    keys : sequence of bytes
        Fleet keys; the first signs, all are accepted.

    Examples
    --------
    >>> tokens = ResumeTokens([b"key"])
    >>> tokens.open("x.y", now_ms=0)
    Err('the resume token is malformed')
    """

    def __init__(self, keys: Sequence[bytes]):
        self._keys = tuple(keys)

    def seal(self, claim: ResumeClaim) -> str:
        """Return the token for `claim`."""
        body = msgspec.msgpack.encode(claim)
        return _to_text(_sign(self._keys[0], body) + body)

    def open(self, token: str, now_ms: int) -> Result[ResumeClaim, str]:
        """Return what the token says, or why it is not accepted."""
        if len(token) > MAX_TOKEN_CHARS:
            return Err("the resume token is too long")
        try:
            raw = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        except ValueError:
            return Err("the resume token is malformed")
        signature, body = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
        if not any(hmac.compare_digest(signature, _sign(k, body)) for k in self._keys):
            return Err("the resume token is malformed")
        claim = msgspec.msgpack.decode(body, type=ResumeClaim)
        if claim.expires_ms < now_ms:
            return Err("the resume token has expired")
        return Ok(claim)


def _sign(key: bytes, body: bytes) -> bytes:
    digest = hmac.digest(key, b"resume:" + body, hashlib.sha256)
    return digest[:SIGNATURE_BYTES]


def _to_text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")
