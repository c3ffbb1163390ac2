"""States of this instance's claims, from the attempt to the outcome."""

from dataclasses import dataclass

from ..core.outcomes import Outcome
from ..wire.messages.claims import Claim, ClaimState, Settlement

_STATE_BY_OUTCOME = {
    Outcome.DONE: ClaimState.DONE,
    Outcome.UNKNOWN: ClaimState.UNKNOWN,
    Outcome.NOT_RUN: ClaimState.ABANDONED,
}


@dataclass
class LocalClaim:
    """A claim of this instance, with its current state.

    `id_ms` is the timestamp in the request's id.
    """

    claim: Claim
    partition: int
    bucket: int
    id_ms: int
    state: ClaimState = ClaimState.PENDING
    count: int = 0
    digest: str = ""

    def settlement(self) -> Settlement:
        """Return the settlement that stores the claim's current state."""
        claim = self.claim
        return Settlement(claim.key, claim.nonce, self.state, self.count, self.digest)


class ClaimTable:
    """States of the claims of this incarnation; an abandoned claim never runs.

    A claim goes from PENDING to RUNNING or ABANDONED, and from RUNNING to DONE,
    UNKNOWN or ABANDONED. ABANDONED is final, so a peer that receives this state
    may replace the claim.
    """

    def __init__(self):
        self._by_nonce: dict[str, LocalClaim] = {}
        self._by_key: dict[str, LocalClaim] = {}

    def __len__(self) -> int:
        return len(self._by_nonce)

    def add(self, local_claim: LocalClaim) -> None:
        """Add a pending claim; must be called before its commit is requested."""
        self._by_nonce[local_claim.claim.nonce] = local_claim
        self._by_key[local_claim.claim.key] = local_claim

    def find_by_key(self, key: str) -> LocalClaim | None:
        """Return the latest claim with this key, or None if absent or abandoned."""
        local_claim = self._by_key.get(key)
        if local_claim is None or local_claim.state is ClaimState.ABANDONED:
            return None
        return local_claim

    def find_by_nonce(self, nonce: str) -> LocalClaim | None:
        """Return the claim with this nonce, or None."""
        return self._by_nonce.get(nonce)

    def grant(self, nonce: str) -> bool:
        """Set a pending claim to RUNNING; return False if it is not pending."""
        local_claim = self._by_nonce.get(nonce)
        if local_claim is None or local_claim.state is not ClaimState.PENDING:
            return False
        local_claim.state = ClaimState.RUNNING
        return True

    def abandon(self, nonce: str) -> LocalClaim | None:
        """Set a pending claim to ABANDONED and return it; None if it is not pending."""
        local_claim = self._by_nonce.get(nonce)
        if local_claim is None or local_claim.state is not ClaimState.PENDING:
            return None
        local_claim.state = ClaimState.ABANDONED
        return local_claim

    def finish(
        self, nonce: str, outcome: Outcome, count: int, digest: str
    ) -> LocalClaim | None:
        """Record the outcome of a running claim and return it; None if not running."""
        local_claim = self._by_nonce.get(nonce)
        if local_claim is None or local_claim.state is not ClaimState.RUNNING:
            return None
        local_claim.state = _STATE_BY_OUTCOME[outcome]
        local_claim.count = count
        local_claim.digest = digest
        return local_claim

    def evict_before(self, bucket: int) -> None:
        """Remove all claims in buckets older than `bucket`, except running ones."""
        evicted = [
            local_claim
            for local_claim in self._by_nonce.values()
            if local_claim.bucket < bucket
            and local_claim.state is not ClaimState.RUNNING
        ]
        for local_claim in evicted:
            del self._by_nonce[local_claim.claim.nonce]
            if self._by_key.get(local_claim.claim.key) is local_claim:
                del self._by_key[local_claim.claim.key]
