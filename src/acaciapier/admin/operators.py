"""Operators, their roles and what each role may do."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ..configuration.state import token_digest
from ..core.clock import Clock
from ..core.findings import Findings
from ..policy.fairness import TokenBucket
from ..settings.models import OperatorToken

CALLS_PER_S = 50.0
CALLS_BURST = 200
REFUSALS_PER_S = 20.0
REFUSALS_BURST = 100


class Role(Enum):
    """What an operator may do; each role includes the ones before it."""

    VIEWER = "viewer"
    """Read everything but the digests of tokens."""

    OPERATOR = "operator"
    """Change pipelines, route rules and pools; drain and release."""

    ADMIN = "admin"
    """Change workspaces too, and read the digests of their tokens."""

    def includes(self, other: "Role") -> bool:
        """Return whether this role may do all that `other` may."""
        order = list(Role)
        return order.index(self) >= order.index(other)


@dataclass(frozen=True)
class Operator:
    """Someone who was recognised by a token."""

    name: str
    role: Role


class Operators:
    """Recognises operators and bounds their rates.

    Parameters
    ----------
    tokens : iterable of OperatorToken
        Digests of tokens with their names and roles.
    clock : Clock
        Source of time for the rates.

    Raises
    ------
    FindingsError
        If a role is unknown or two operators share a token.
    """

    def __init__(self, tokens: Iterable[OperatorToken], clock: Clock):
        findings = Findings()
        self._by_digest: dict[str, Operator] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._refusals = TokenBucket(clock, REFUSALS_PER_S, REFUSALS_BURST)
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
            bucket = TokenBucket(clock, CALLS_PER_S, CALLS_BURST)
            self._buckets[token.name] = bucket
        findings.raise_if_any("operators")

    def recognise(self, token: str) -> Operator | None:
        """Return the operator of a token; None if there is none."""
        return self._by_digest.get(token_digest(token))

    def wait_ms(self, operator: Operator | None) -> float:
        """Count a call; return 0, or the time to wait if it is over the rate."""
        bucket = self._buckets[operator.name] if operator else self._refusals
        wait_ms = bucket.wait_ms()
        if wait_ms == 0:
            bucket.take()
        return wait_ms
