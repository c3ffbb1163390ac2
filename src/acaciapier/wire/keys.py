"""Fleet keys: shared secrets with which instances authenticate each other."""

import hmac
from collections.abc import Sequence
from hashlib import sha256

MIN_KEY_BYTES = 16
_KEY_ID_HEX_DIGITS = 12


class FleetKeys:
    """The keys that an instance accepts, newest first.

    A key is rotated in two steps: add the new one in front on every instance, then
    remove the old one everywhere. Two sides use the newest key that both accept.

    Parameters
    ----------
    keys : sequence of bytes
        At least one key of at least 16 bytes.

    Raises
    ------
    ValueError
        If there is no key, or one is too short.
    """

    def __init__(self, keys: Sequence[bytes]):
        if not keys:
            raise ValueError("at least one fleet key is needed")
        if any(len(key) < MIN_KEY_BYTES for key in keys):
            raise ValueError(f"a fleet key needs at least {MIN_KEY_BYTES} bytes")
        self._keys = {_key_id(key): key for key in keys}

    def __repr__(self) -> str:
        return f"FleetKeys({list(self._keys)})"

    @property
    def key_ids(self) -> tuple[str, ...]:
        """Public ids of the keys, newest first."""
        return tuple(self._keys)

    def newest_shared_id(self, offered: Sequence[str]) -> str | None:
        """Return the id of the newest own key that is in `offered`, or None."""
        return next((key_id for key_id in self._keys if key_id in offered), None)

    def sign(self, key_id: str, *parts: bytes) -> bytes:
        """Return the HMAC-SHA-256 of `parts` under one key."""
        return _sign(self._keys[key_id], parts)

    def verify(self, key_id: str, proof: bytes, *parts: bytes) -> bool:
        """Return whether `proof` is the HMAC of `parts` under an accepted key."""
        key = self._keys.get(key_id)
        return key is not None and hmac.compare_digest(proof, _sign(key, parts))


def _key_id(key: bytes) -> str:
    """Return a public id of `key` that does not reveal the key."""
    return _sign(key, (b"acaciapier key id",)).hex()[:_KEY_ID_HEX_DIGITS]


def _sign(key: bytes, parts: Sequence[bytes]) -> bytes:
    """Return the HMAC over `parts`, each preceded by its length."""
    digest = hmac.new(key, digestmod=sha256)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
