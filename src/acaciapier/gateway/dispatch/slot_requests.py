"""Requests for slots at workers, and the slots reserved for them."""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from ...core.clock import Clock, to_s
from ...wire.messages.gateway import AcquireWorker
from ..models import SoftwareVersion, Worker
from ..worker_eligibility import WorkerEligibility
from ..worker_rooms import SentWithin
from .prefix_cache import PrefixHash, hash_prefixes
from .request_costs import CostDistribution, CostKind

MAX_PLACEMENT_PARTS = 128
"""Leading parts of a prompt that are considered for the choice of its worker, since
each waiting request keeps them."""

RESTORED_SLOT_TTL_MS = 5_000.0
"""Time for which a slot is reserved again after a silence: most requests end in it."""


@dataclass(eq=False)
class SlotRequest:
    """A request that needs a slot.

    Times are in seconds of the dispatcher's clock.
    """

    permit: str
    owner: str
    due_s: float
    expires_s: float
    priority: int = 0
    value: float = 1.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    input_bytes: dict[str, int] = field(default_factory=dict)
    """Size of the stage results that the worker has to fetch, by data centre."""
    avoid: frozenset[str] = frozenset()
    software_version: str | None = None
    """Version of the workers that may run the request; None for any."""
    only_untried: bool = False
    """Whether the workers in `avoid` must not be granted."""
    kept: bool = False
    """Whether the version was chosen for it, as the caller has no event yet."""
    any_version: bool = False
    """Whether no later request depends on the software version of the worker."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions whose workers may run it; empty for any."""
    eligibility: WorkerEligibility = field(default_factory=WorkerEligibility)
    """Says which workers are of the right version and region."""
    confirmed: bool = False
    """Whether its instance confirms the permits that it accepts."""
    kind: CostKind = field(default_factory=CostKind)
    """What is known of its cost."""
    deferred_until_s: float | None = None
    """Until when it leaves free slots of slow workers alone, if it does."""

    @cached_property
    def prefixes(self) -> tuple[tuple[PrefixHash, int], ...]:
        """Hashes of the prefixes of its prompt, with the tokens of their last parts."""
        return hash_prefixes(self.parts)

    @property
    def is_bound(self) -> bool:
        """Whether it may run only at workers of some version or regions."""
        return self.software_version is not None or bool(self.allowed_regions)

    @property
    def begun(self) -> bool:
        """Whether it is a broken stream, of which the caller has events."""
        return self.software_version is not None and not self.kept

    def urgency(self, now_s: float, above_share: Collection[str] = ()) -> tuple:
        """Return the key by which waiting requests are sorted, the most urgent first.

        Within a priority, streams of which the caller has events go first: what was
        done for them is lost if they wait too long. Few are broken at a time. The
        requests of workspaces in `above_share` go last.
        """
        above = self.kind.workspace in above_share
        return self.due_s < now_s, self.priority, not self.begun, above, self.due_s

    def may_compete_with(self, other: "SlotRequest") -> bool:
        """Return whether both may be granted the same worker."""
        own, others = self.software_version, other.software_version
        return own is None or others is None or own == others

    def usable(self, workers: Sequence[Worker]) -> Sequence[Worker]:
        """Return the workers at which the request may be granted a slot."""
        if self.is_bound:
            workers = self.eligibility.select(
                workers, self.software_version, self.allowed_regions
            )
        if self.only_untried:
            workers = [worker for worker in workers if worker.id not in self.avoid]
        return workers


@dataclass(eq=False)
class SlotReservation:
    """A slot that is reserved for a request, under the name of its permit."""

    worker: str
    owner: str
    prompt_tokens: int
    output_tokens: int
    pending_prefill_tokens: float
    until_s: float
    started: bool = False
    granted_s: float = float("-inf")
    """When this dispatcher granted it; unknown if an earlier one did."""
    expected_ms: float = 0.0
    """Expected time to the first part of the answer."""
    prefilled_tokens: float = 0.0
    """Prompt tokens that the engine prefills before the first part."""
    slots: int = 1
    """Requests that its worker is declared to run at once."""
    sent: SentWithin | None = None
    """The worker's room when this dispatcher granted it."""
    software_version: SoftwareVersion | None = None
    """Version of the worker; None if an earlier dispatcher granted it."""
    request: SlotRequest | None = None
    """What it was granted to; None if an earlier dispatcher granted it."""
    accepted: bool = True
    """Whether its instance has confirmed it, or does not confirm permits."""
    cost: CostDistribution | None = None
    """Expected cost of the request; None if not learned."""
    slowdown: float = 1.0
    """The worker's slowdown when this dispatcher granted it."""


@dataclass(eq=False)
class ReleasedSlots:
    """Slots of an instance that seemed down at `at_s`, by service and permit."""

    at_s: float
    by_service: dict[str, dict[str, SlotReservation]] = field(default_factory=dict)

    def left(self, clock: Clock) -> Iterator[tuple[str, str, SlotReservation]]:
        """Yield service, permit and reservation of the slots that may still be held.

        Their requests may have ended at another dispatcher meanwhile, so they are
        reserved for a short time only.
        """
        latest_s = clock.monotonic_s() + to_s(RESTORED_SLOT_TTL_MS)
        for service, reservations in self.by_service.items():
            for permit, reservation in reservations.items():
                reservation.until_s = min(reservation.until_s, latest_s)
                yield service, permit, reservation

    def end(self, service: str, permit: str) -> None:
        """Forget a slot whose request has ended."""
        self.by_service.get(service, {}).pop(permit, None)


def make_slot_request(
    owner: str,
    message: AcquireWorker,
    kept: SoftwareVersion | None,
    latest_ms: float,
    now_s: float,
    eligibility: WorkerEligibility,
) -> SlotRequest:
    """Return the slot request of an instance that must start within `latest_ms`.

    `kept` is the version to which its service is kept, if it is.
    """
    return SlotRequest(
        permit=message.permit,
        owner=owner,
        due_s=now_s + to_s(message.due_ms),
        expires_s=now_s + to_s(latest_ms),
        priority=message.priority,
        value=message.value,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        parts=message.parts[:MAX_PLACEMENT_PARTS],
        input_bytes=dict(message.input_bytes),
        avoid=frozenset(message.avoid),
        software_version=message.software_version if kept is None else kept,
        only_untried=message.only_untried,
        kept=kept is not None or message.begins,
        any_version=message.any_version,
        allowed_regions=frozenset(message.allowed_regions),
        eligibility=eligibility,
        confirmed=message.accepted is not None,
        kind=CostKind(message.route, message.body_bytes, message.workspace),
    )
