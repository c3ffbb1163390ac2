"""Buckets of claims, and what an instance knows of their stored versions."""

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
class Placement:
    """A claim to be placed, which may replace an abandoned one.

    Parameters
    ----------
    replaces : str
        Nonce of the abandoned claim, or empty.
    """

    claim: Claim
    replaces: str = ""


Operation = Placement | Settlement


class ClaimBucket:
    """The claims of one bucket, changed only as a copy that is then committed.

    Parameters
    ----------
    claims : iterable of Claim
        Its claims, with distinct keys.
    """

    def __init__(self, claims: Iterable[Claim] = ()):
        self._claims = {claim.key: claim for claim in claims}
        self.changed = False

    def __len__(self) -> int:
        return len(self._claims)

    @classmethod
    def from_value(cls, value: Any) -> "ClaimBucket":
        """Build a bucket from the value of its object."""
        return cls(msgspec.convert(value, tuple[Claim, ...]))

    def to_value(self) -> tuple[Claim, ...]:
        """Return the value to store."""
        return tuple(self._claims.values())

    def find(self, key: str) -> Claim | None:
        """Return the claim that stands for `key`."""
        return self._claims.get(key)

    def stage(
        self, operations: Sequence[Operation]
    ) -> tuple["ClaimBucket", list[CommitAnswer]]:
        """Return a changed copy and what each operation comes to once it is stored."""
        staged = ClaimBucket(self._claims.values())
        answers = [staged._apply(operation) for operation in operations]
        return staged, answers

    @singledispatchmethod
    def _apply(self, operation: Operation) -> CommitAnswer:
        raise TypeError(f"not an operation on claims: {operation!r}")

    @_apply.register
    def _(self, operation: Placement) -> CommitAnswer:
        claim = operation.claim
        holder = self._claims.get(claim.key)
        if holder is not None and holder.nonce == claim.nonce:
            return CommitAnswer(CommitVerdict.GRANTED)
        if holder is not None and holder.nonce != operation.replaces:
            return CommitAnswer(CommitVerdict.HELD, holder)
        self._claims[claim.key] = claim
        self.changed = True
        return CommitAnswer(CommitVerdict.GRANTED)

    @_apply.register
    def _(self, operation: Settlement) -> CommitAnswer:
        holder = self._claims.get(operation.key)
        if holder is None or holder.nonce != operation.nonce:
            return CommitAnswer(CommitVerdict.HELD, holder)
        if operation.state is ClaimState.ABANDONED:
            del self._claims[operation.key]
            self.changed = True
        elif holder.state is not operation.state:
            self._claims[operation.key] = msgspec.structs.replace(
                holder,
                state=operation.state,
                count=operation.count,
                digest=operation.digest,
            )
            self.changed = True
        return CommitAnswer(CommitVerdict.GRANTED)


class KnownBucket:
    """A bucket as last read or written by this instance, with its version.

    It may be out of date; the conditional update then fails and it is read again.
    """

    def __init__(self):
        self.version = 0
        self.bucket = ClaimBucket()

    def observe(self, stored: StoredObject | None, oldest_version: int = 0) -> bool:
        """Take over what a read returned.

        Parameters
        ----------
        oldest_version : int
            A version that is known to have existed.

        Returns
        -------
        bool
            False if the read may be older than that.
        """
        if stored is None:
            self.version = 0
            self.bucket = ClaimBucket()
            return oldest_version == 0
        if stored.version < oldest_version:
            return False
        self.version = stored.version
        self.bucket = ClaimBucket.from_value(stored.value)
        return True

    def accept(self, version: int, staged: ClaimBucket) -> None:
        """Take over what was written as `version`."""
        self.version = version
        self.bucket = staged
        staged.changed = False
