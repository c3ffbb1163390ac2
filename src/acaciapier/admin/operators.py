"""Authentication, roles and rate limits of operators."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ..configuration.state import token_digest
from ..core.clock import Clock
from ..core.findings import Findings
from ..policy.fairness import TokenBucket
from ..settings.models import OperatorToken

OPERATOR_CALLS_PER_S = 50.0
OPERATOR_CALLS_BURST = 200
UNAUTHENTICATED_CALLS_PER_S = 20.0
UNAUTHENTICATED_CALLS_BURST = 100


class Role(Enum):
    """Permissions of an operator; each role includes those before it."""

    VIEWER = "viewer"
    """Read everything except the digests of access tokens."""

    OPERATOR = "operator"
    """Change pipelines, route rules and pools; drain and release."""

    ADMIN = "admin"
    """Also change workspaces, and read the digests of their access tokens."""

    def includes(self, other: "Role") -> bool:
        """Return whether this role has all permissions of `other`."""
        order = list(Role)
        return order.index(self) >= order.index(other)


@dataclass(frozen=True)
class Operator:
    """An operator who was authenticated by a token."""

    name: str
    role: Role


class Operators:
    """Authenticates operators and limits their rates of calls.

    Parameters
    ----------
    tokens : iterable of OperatorToken
        Digest of each token, with the name and role of its operator.
    clock : Clock
        Time source of the rate limits.

    Raises
    ------
    FindingsError
        If a role is unknown or two operators share a token.
    """

    def __init__(self, tokens: Iterable[OperatorToken], clock: Clock):
        findings = Findings()
        self._by_digest: dict[str, Operator] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._unauthenticated = TokenBucket(
            clock, UNAUTHENTICATED_CALLS_PER_S, UNAUTHENTICATED_CALLS_BURST
        )
        roles = {role.value: role for role in Role}
        for index, token in enumerate(tokens):
            place = f"operators[{index}]"
            if token.role not in roles:
                findings.add(f"{place}.role", f"must be one of {', '.join(roles)}")
                continue
            if token.token_sha256 in self._by_digest:
                findings.add(f"{place}.token_sha256", "is used twice")
            operator = Operator(token.name, roles[token.role])
            self._by_digest[token.token_sha256] = operator
            bucket = TokenBucket(clock, OPERATOR_CALLS_PER_S, OPERATOR_CALLS_BURST)
            self._buckets[token.name] = bucket
        findings.raise_if_any("operators")

    def authenticate(self, token: str) -> Operator | None:
        """Return the operator that a token belongs to, or None."""
        return self._by_digest.get(token_digest(token))

    def acquire_call(self, operator: Operator | None) -> float:
        """Count a call against the rate limit of its operator.

        Returns 0 if the call is within the limit, else the milliseconds to wait. All
        calls with an unknown token share one limit.
        """
        bucket = self._buckets[operator.name] if operator else self._unauthenticated
        wait_ms = bucket.wait_ms()
        if wait_ms == 0:
            bucket.take()
        return wait_ms
