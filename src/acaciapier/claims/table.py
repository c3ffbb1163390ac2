"""The claims of this instance, from their first attempt to their outcome."""

from dataclasses import dataclass

from ..core.outcomes import Outcome
from ..wire.messages.claims import Claim, ClaimState, Settlement

_STATE_OF_OUTCOME = {
    Outcome.DONE: ClaimState.DONE,
    Outcome.UNKNOWN: ClaimState.UNKNOWN,
    Outcome.NOT_RUN: ClaimState.ABANDONED,
}


@dataclass
class OwnClaim:
    """One attempt of this instance to claim a request."""

    claim: Claim
    partition: int
    bucket: int
    id_ms: int
    state: ClaimState = ClaimState.PENDING
    count: int = 0
    digest: str = ""

    def settlement(self) -> Settlement:
        """Return what is to be stored about this claim."""
        claim = self.claim
        return Settlement(claim.key, claim.nonce, self.state, self.count, self.digest)


class ClaimTable:
    """States of this incarnation's claims; an abandoned one never runs.

    A claim goes from PENDING to RUNNING or ABANDONED, and from RUNNING to DONE,
    UNKNOWN or ABANDONED. ABANDONED is final, so a peer that is told of it may
    replace the claim.
    """

    def __init__(self):
        self._by_nonce: dict[str, OwnClaim] = {}
        self._by_key: dict[str, OwnClaim] = {}

    def __len__(self) -> int:
        return len(self._by_nonce)

    def open(self, own: OwnClaim) -> None:
        """Enter a pending claim before its commit is asked for."""
        self._by_nonce[own.claim.nonce] = own
        self._by_key[own.claim.key] = own

    def find(self, key: str) -> OwnClaim | None:
        """Return this instance's last claim for `key`, unless it was abandoned."""
        own = self._by_key.get(key)
        if own is None or own.state is ClaimState.ABANDONED:
            return None
        return own

    def status(self, nonce: str) -> OwnClaim | None:
        """Return the claim with this nonce."""
        return self._by_nonce.get(nonce)

    def grant(self, nonce: str) -> bool:
        """Let a pending claim run; False if it may not."""
        own = self._by_nonce.get(nonce)
        if own is None or own.state is not ClaimState.PENDING:
            return False
        own.state = ClaimState.RUNNING
        return True

    def abandon(self, nonce: str) -> OwnClaim | None:
        """Give up a pending claim for good; return it if it was pending."""
        own = self._by_nonce.get(nonce)
        if own is None or own.state is not ClaimState.PENDING:
            return None
        own.state = ClaimState.ABANDONED
        return own

    def finish(
        self, nonce: str, outcome: Outcome, count: int, digest: str
    ) -> OwnClaim | None:
        """Record the outcome of a running claim; return it if it was running."""
        own = self._by_nonce.get(nonce)
        if own is None or own.state is not ClaimState.RUNNING:
            return None
        own.state = _STATE_OF_OUTCOME[outcome]
        own.count = count
        own.digest = digest
        return own

    def forget_before(self, bucket: int) -> None:
        """Drop all ended claims of buckets older than `bucket`."""
        ended = [
            own
            for own in self._by_nonce.values()
            if own.bucket < bucket and own.state is not ClaimState.RUNNING
        ]
        for own in ended:
            del self._by_nonce[own.claim.nonce]
            if self._by_key.get(own.claim.key) is own:
                del self._by_key[own.claim.key]
