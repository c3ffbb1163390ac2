"""Buckets of claims, and an instance's cached copies of them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

import msgspec

from ..store import StoredObject
from ..wire.messages.claims import (
    Claim,
    ClaimState,
    CommitAnswer,
    CommitVerdict,
    Settlement,
)


@dataclass(frozen=True)
class Insertion:
    """Operation that adds a claim, optionally in place of an abandoned one.

    Parameters
    ----------
    replaces : str
        Nonce of the abandoned claim to replace, or empty.
    """

    claim: Claim
    replaces: str = ""


Operation = Insertion | Settlement


class ClaimBucket:
    """The claims of one bucket, by key.

    Operations are applied to a copy, which replaces the original once it is stored.

    Parameters
    ----------
    claims : iterable of Claim
        Claims in the bucket, with distinct keys.
    """

    def __init__(self, claims: Iterable[Claim] = ()):
        self._claims = {claim.key: claim for claim in claims}
        self.changed = False

    def __len__(self) -> int:
        return len(self._claims)

    @classmethod
    def from_value(cls, value: Any) -> "ClaimBucket":
        """Build a bucket from the value of its stored object."""
        return cls(msgspec.convert(value, tuple[Claim, ...]))

    def to_value(self) -> tuple[Claim, ...]:
        """Return the value to store in the bucket's object."""
        return tuple(self._claims.values())

    def find(self, key: str) -> Claim | None:
        """Return the claim with this key, or None."""
        return self._claims.get(key)

    def stage(
        self, operations: Sequence[Operation]
    ) -> tuple["ClaimBucket", list[CommitAnswer]]:
        """Apply operations to a copy.

        Returns the copy and one answer per operation, valid once the copy is stored.
        """
        staged = ClaimBucket(self._claims.values())
        answers = [staged._apply(operation) for operation in operations]
        return staged, answers

    @singledispatchmethod
    def _apply(self, operation: Operation) -> CommitAnswer:
        raise TypeError(f"unsupported operation on a claim bucket: {operation!r}")

    @_apply.register
    def _(self, operation: Insertion) -> CommitAnswer:
        claim = operation.claim
        existing_claim = self._claims.get(claim.key)
        if existing_claim is not None and existing_claim.nonce == claim.nonce:
            return CommitAnswer(CommitVerdict.GRANTED)
        if existing_claim is not None and existing_claim.nonce != operation.replaces:
            return CommitAnswer(CommitVerdict.HELD, existing_claim)
        self._claims[claim.key] = claim
        self.changed = True
        return CommitAnswer(CommitVerdict.GRANTED)

    @_apply.register
    def _(self, operation: Settlement) -> CommitAnswer:
        existing_claim = self._claims.get(operation.key)
        if existing_claim is None or existing_claim.nonce != operation.nonce:
            return CommitAnswer(CommitVerdict.HELD, existing_claim)
        if operation.state is ClaimState.ABANDONED:
            del self._claims[operation.key]
            self.changed = True
        elif existing_claim.state is not operation.state:
            self._claims[operation.key] = msgspec.structs.replace(
                existing_claim,
                state=operation.state,
                count=operation.count,
                digest=operation.digest,
            )
            self.changed = True
        return CommitAnswer(CommitVerdict.GRANTED)


class CachedBucket:
    """A bucket as this instance last read or wrote it, with its version.

    The copy may be stale. A conditional update based on it then fails, and the
    bucket is read again.
    """

    def __init__(self):
        self.version = 0
        self.bucket = ClaimBucket()

    def record_read(self, stored: StoredObject | None, min_version: int = 0) -> bool:
        """Replace the cached copy by the result of a read.

        Parameters
        ----------
        min_version : int
            Version that the object is known to have reached; 0 if none is known.

        Returns
        -------
        bool
            False if the result may be older than `min_version`.
        """
        if stored is None:
            self.version = 0
            self.bucket = ClaimBucket()
            return min_version == 0
        if stored.version < min_version:
            return False
        self.version = stored.version
        self.bucket = ClaimBucket.from_value(stored.value)
        return True

    def record_write(self, version: int, staged: ClaimBucket) -> None:
        """Replace the cached copy by a bucket that was written as `version`."""
        self.version = version
        self.bucket = staged
        staged.changed = False
