"""Signed tokens with which a caller resumes a stream on any instance."""

import base64
import hashlib
import hmac
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

SIGNATURE_BYTES = 16
MAX_TOKEN_CHARS = 4096


class ResumeTokenPayload(msgspec.Struct, frozen=True, array_like=True):
    """Payload of a resume token: a request, its run and the engine streaming it."""

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


class ResumeTokenSigner:
    """Signs and verifies resume tokens.

    Parameters
    ----------
    keys : sequence of bytes
        Fleet keys; the first one signs, and signatures of all are accepted.

    Examples
    --------
    >>> tokens = ResumeTokenSigner([b"key"])
    >>> tokens.verify("x.y", now_ms=0)
    Err('the resume token is malformed')
    """

    def __init__(self, keys: Sequence[bytes]):
        self._keys = tuple(keys)

    def sign(self, payload: ResumeTokenPayload) -> str:
        """Return the signed token for `payload`."""
        body = msgspec.msgpack.encode(payload)
        return _encode_base64url(_sign(self._keys[0], body) + body)

    def verify(self, token: str, now_ms: int) -> Result[ResumeTokenPayload, str]:
        """Return the payload of the token, or the reason why it is rejected."""
        if len(token) > MAX_TOKEN_CHARS:
            return Err("the resume token is too long")
        try:
            raw = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        except ValueError:
            return Err("the resume token is malformed")
        signature, body = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
        if not any(hmac.compare_digest(signature, _sign(k, body)) for k in self._keys):
            return Err("the resume token is malformed")
        payload = msgspec.msgpack.decode(body, type=ResumeTokenPayload)
        if payload.expires_ms < now_ms:
            return Err("the resume token has expired")
        return Ok(payload)


def _sign(key: bytes, body: bytes) -> bytes:
    digest = hmac.digest(key, b"resume:" + body, hashlib.sha256)
    return digest[:SIGNATURE_BYTES]


def _encode_base64url(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")
