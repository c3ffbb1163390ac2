"""The log of accepted changes: one order, kept by conditional updates alone."""

from dataclasses import dataclass
from random import Random

import msgspec
import trio
from result import Err, Ok, Result

from ..core.clock import Clock, epoch_ms, to_s
from ..exceptions import AcaciapierError, StoreUnavailable, VersionConflict
from ..objects import Change
from .archive import Archive, ArchiveGap
from .catchup import catch_up
from .decisions import Conflict, PatchRecord, Rejected, decide, record_of
from .interfaces import PURPOSE, Store
from .ledger import Ledger
from .limits import LogLimits
from .records import (
    HEAD_KIND,
    HEAD_NAME,
    Block,
    Head,
    from_value,
    to_value,
)
from .requests import RequestedChange
from .state import ConfigurationState, ObjectKey

MAX_ATTEMPTS = 12
MAX_GAP_READS = 4
FIRST_PAUSE_MS = 20.0
LONGEST_PAUSE_MS = 1_000.0
DEFAULT_TIMEOUT_MS = 5_000.0


@dataclass(frozen=True)
class Accepted:
    """The change is in the order, exactly once.

    Parameters
    ----------
    number : int
        Its place.
    versions : tuple of (ObjectKey, int)
        New version of each edited object.
    resent : bool
        Whether it had been accepted before this call.
    """

    number: int
    versions: tuple[tuple[ObjectKey, int], ...]
    resent: bool


@dataclass(frozen=True)
class Unavailable:
    """The store did not answer.

    Parameters
    ----------
    may_have_landed : bool
        Whether the change may be in the order; send it again with the same id.
    at_least_number : int
        What to name in the resend, so that an older copy cannot refuse it.
    """

    may_have_landed: bool
    at_least_number: int


Refusal = Conflict | Rejected | Unavailable


class HeadCorrupt(AcaciapierError):
    """The head in the object API has a shape that cannot be read."""


class ConfigurationLog:
    """An administration instance's view of the log, and the way to change it.

    Parameters
    ----------
    store : Store
        Client of the object API.
    clock : Clock
        Source of the time that is recorded with a change.
    random : Random
        Source of jitter and of unique names.
    limits : LogLimits, optional
        When to trim the head.

    Examples
    --------
    >>> log = ConfigurationLog(store, clock, random)  # doctest: +SKIP
    >>> await log.submit(request)  # doctest: +SKIP
    Ok(Accepted(number=7, ...))
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        random: Random,
        limits: LogLimits = LogLimits(),
    ):
        self.archive = Archive(store, random)
        self._store = store
        self._clock = clock
        self._random = random
        self._limits = limits
        self._ledger = Ledger(limits)
        self._head = Head()
        self._head_version = 0
        self._starts_of_snapshot: tuple[str, tuple[int, ...]] | None = None
        self._lock = trio.Lock()

    @property
    def state(self) -> ConfigurationState:
        """The newest state that this instance knows."""
        return self._ledger.state

    @property
    def head(self) -> Head:
        """The newest head that this instance knows."""
        return self._head

    async def refresh(self) -> ConfigurationState:
        """Read the head and take in what is new; return the newest state.

        Raises
        ------
        StoreUnavailable
            If the store did not answer.
        """
        async with self._lock:
            await self._refresh()
        return self.state

    async def submit(
        self, request: RequestedChange, timeout_ms: float = DEFAULT_TIMEOUT_MS
    ) -> Result[Accepted, Refusal]:
        """Have a change accepted, or learn why not.

        An answer other than `Unavailable` is final: an accepted change stays in
        the order for good, and a refused one is not in it.
        """
        attempt = _Attempt(request)
        with trio.move_on_after(to_s(timeout_ms)):
            async with self._lock:
                return await self._submit(attempt)
        return Err(attempt.unavailable(self.state.number))

    async def block_starts(self) -> tuple[int, ...]:
        """Return the first numbers of all kept history blocks, oldest first."""
        starts = await self._snapshot_starts()
        return starts + tuple(ref.first for ref in self._head.blocks)

    async def _submit(self, attempt: "_Attempt") -> Result[Accepted, Refusal]:
        for turn in range(MAX_ATTEMPTS):
            try:
                answer = await self._try_once(attempt)
            except (StoreUnavailable, ArchiveGap):
                await self._pause(turn)
                continue
            if answer is not None:
                return answer
        return Err(attempt.unavailable(self.state.number))

    async def _try_once(self, attempt: "_Attempt") -> Result[Accepted, Refusal] | None:
        """Decide and update the head once; return None to try again."""
        if attempt.needs_refresh or self.state.number < attempt.at_least_number:
            await self._refresh()
            if self.state.number < attempt.at_least_number:
                raise StoreUnavailable("the object API answers from an older copy")
        made_at_ms = epoch_ms(self._clock.now())
        request = attempt.request
        decision = decide(self.state, self._ledger.patches, request, made_at_ms)
        if isinstance(decision, Err):
            if attempt.needs_refresh:
                return decision
            attempt.needs_refresh = True
            return None
        if isinstance(decision.ok_value, PatchRecord):
            return Ok(_accepted(request, decision.ok_value, attempt.is_resend))
        return await self._append(attempt, decision.ok_value)

    async def _append(
        self, attempt: "_Attempt", change: Change
    ) -> Result[Accepted, Refusal] | None:
        attempt.needs_refresh = True
        head = await self._next_head(change)
        before = attempt.may_have_landed
        attempt.may_have_landed = attempt.is_sent = True
        attempt.at_least_number = max(attempt.at_least_number, change.number - 1)
        try:
            version = await self._put_head(head)
        except VersionConflict:
            return None
        except StoreUnavailable as lost:
            attempt.may_have_landed = before or lost.may_have_landed
            raise
        trimmed = head.snapshot != self._head.snapshot
        self._adopt(head, version, change)
        if trimmed:
            await self._clean_up()
        return Ok(_accepted(attempt.request, record_of(change), False))

    async def _put_head(self, head: Head) -> int:
        return await self._store.put(
            HEAD_KIND, HEAD_NAME, to_value(head), self._head_version, purpose=PURPOSE
        )

    def _adopt(self, head: Head, version: int, change: Change) -> None:
        self._ledger.apply(change)
        self._head = head
        self._head_version = version

    async def _refresh(self) -> None:
        for _ in range(MAX_GAP_READS):
            found = await self._store.get(HEAD_KIND, HEAD_NAME, purpose=PURPOSE)
            if found is None or found.version <= self._head_version:
                return
            head = _read_head(found.value)
            try:
                await catch_up(self._ledger, head, self.archive)
            except ArchiveGap:
                continue
            self._head = head
            self._head_version = found.version
            return
        raise StoreUnavailable("the configuration's archive is behind its head")

    async def _next_head(self, change: Change) -> Head:
        """Return the head with `change`, trimmed first if it has grown."""
        head = self._head
        if self._is_full(head):
            head = await self._trimmed(head)
        return msgspec.structs.replace(
            head, number=change.number, recent=(*head.recent, change)
        )

    def _is_full(self, head: Head) -> bool:
        waiting = head.unarchived
        size_bytes = sum(one.encoded_bytes for one in waiting)
        return (
            len(waiting) >= self._limits.block_changes
            or size_bytes > self._limits.block_bytes
        )

    async def _trimmed(self, head: Head) -> Head:
        """Write what leaves the head, then return the head without it."""
        ref = await self.archive.write_block(Block(head.unarchived))
        is_due = ref.last - head.snapshot.number >= self._limits.snapshot_changes
        is_whole = ref.last == head.number
        head = msgspec.structs.replace(head, blocks=(*head.blocks, ref))
        if is_due and is_whole:
            head = await self._with_snapshot(head)
        kept = self._kept_changes(head)
        return msgspec.structs.replace(head, recent=kept)

    async def _with_snapshot(self, head: Head) -> Head:
        starts = await self._snapshot_starts()
        starts += tuple(ref.first for ref in head.blocks)
        starts = starts[-self._limits.kept_blocks :]
        ref = await self.archive.write_snapshot(self._ledger.to_parts(starts))
        self._starts_of_snapshot = (ref.names[0], starts)
        return msgspec.structs.replace(head, snapshot=ref, blocks=())

    def _kept_changes(self, head: Head) -> tuple[Change, ...]:
        """Return the unarchived changes and a bounded number before them."""
        kept = list(head.unarchived)
        size_bytes = 0
        for change in reversed(head.recent):
            if change.number > head.archived_number:
                continue
            size_bytes += change.encoded_bytes
            enough = len(kept) >= self._limits.kept_changes
            if enough or size_bytes > self._limits.kept_bytes:
                break
            kept.insert(0, change)
        return tuple(kept)

    async def _snapshot_starts(self) -> tuple[int, ...]:
        names = self._head.snapshot.names
        if not names:
            return ()
        known = self._starts_of_snapshot
        if known is None or known[0] != names[0]:
            parts = await self.archive.read_snapshot(self._head.snapshot)
            known = self._starts_of_snapshot = (names[0], parts[0].block_starts)
        return known[1]

    async def _clean_up(self) -> None:
        """Delete old snapshots; what is left over goes with the next one."""
        try:
            await self.archive.delete_old_snapshots(self._head)
        except StoreUnavailable:
            return

    async def _pause(self, turn: int) -> None:
        pause_ms = min(FIRST_PAUSE_MS * 2**turn, LONGEST_PAUSE_MS)
        await trio.sleep(to_s(pause_ms * self._random.uniform(0.5, 1.0)))


class _Attempt:
    """What is known of one submitted change while it is under way."""

    def __init__(self, request: RequestedChange):
        self.request = request
        self.at_least_number = request.at_least_number
        self.needs_refresh = False
        self.is_sent = False
        self.may_have_landed = False

    @property
    def is_resend(self) -> bool:
        return not self.is_sent

    def unavailable(self, number: int) -> Unavailable:
        return Unavailable(self.may_have_landed, max(number, self.at_least_number))


def _accepted(request: RequestedChange, record: PatchRecord, resent: bool) -> Accepted:
    keys = [edit.key for edit in request.edits]
    versions = tuple(zip(keys, record.new_versions, strict=True))
    return Accepted(record.number, versions, resent)


def _read_head(value) -> Head:
    try:
        return from_value(value, Head)
    except msgspec.ValidationError as error:
        raise HeadCorrupt(f"{HEAD_KIND}/{HEAD_NAME}: {error}") from error
