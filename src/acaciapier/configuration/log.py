"""The log of accepted changes: one order, kept by conditional updates alone."""

from random import Random

import msgspec
import trio
from result import Err, Ok, Result

from ..core.clock import Clock, epoch_ms, to_s
from ..exceptions import AcaciapierError, StoreUnavailable, VersionConflict
from ..objects import Change
from .answers import Accepted, Attempt, Refusal, accepted_of
from .archive import Archive, ArchiveGap
from .catchup import catch_up
from .decisions import PatchRecord, decide, record_of
from .interfaces import PURPOSE, Store
from .ledger import Ledger
from .limits import LogLimits
from .records import HEAD_KIND, HEAD_NAME, Head, from_value, to_value
from .requests import RequestedChange
from .state import ConfigurationState
from .trimming import HeadTrimmer

MAX_ATTEMPTS = 12
MAX_GAP_READS = 4
FIRST_PAUSE_MS = 20.0
LONGEST_PAUSE_MS = 1_000.0
DEFAULT_TIMEOUT_MS = 5_000.0


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
        self._ledger = Ledger(limits)
        self._trimmer = HeadTrimmer(self.archive, self._ledger, limits)
        self._head = Head()
        self._head_version = 0
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
        attempt = Attempt(request)
        with trio.move_on_after(to_s(timeout_ms)):
            async with self._lock:
                return await self._submit(attempt)
        return Err(attempt.unavailable(self.state.number))

    async def block_starts(self) -> tuple[int, ...]:
        """Return the first numbers of all kept history blocks, oldest first."""
        return await self._trimmer.block_starts(self._head)

    async def _submit(self, attempt: Attempt) -> Result[Accepted, Refusal]:
        for turn in range(MAX_ATTEMPTS):
            try:
                answer = await self._try_once(attempt)
            except (StoreUnavailable, ArchiveGap):
                await self._pause(turn)
                continue
            if answer is not None:
                return answer
        return Err(attempt.unavailable(self.state.number))

    async def _try_once(self, attempt: Attempt) -> Result[Accepted, Refusal] | None:
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
            return Ok(accepted_of(request, decision.ok_value, attempt.is_resend))
        return await self._append(attempt, decision.ok_value)

    async def _append(
        self, attempt: Attempt, change: Change
    ) -> Result[Accepted, Refusal] | None:
        attempt.needs_refresh = True
        head = await self._trimmer.next_head(self._head, change)
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
        return Ok(accepted_of(attempt.request, record_of(change), False))

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

    async def _clean_up(self) -> None:
        """Delete old snapshots and blocks, as far as the store answers.

        Snapshots that are left over go with the next one.
        """
        try:
            for first in self._trimmer.dropped_starts:
                await self.archive.delete_block(first)
            await self.archive.delete_old_snapshots(self._head)
        except StoreUnavailable:
            return

    async def _pause(self, turn: int) -> None:
        pause_ms = min(FIRST_PAUSE_MS * 2**turn, LONGEST_PAUSE_MS)
        await trio.sleep(to_s(pause_ms * self._random.uniform(0.5, 1.0)))


def _read_head(value) -> Head:
    try:
        return from_value(value, Head)
    except msgspec.ValidationError as error:
        raise HeadCorrupt(f"{HEAD_KIND}/{HEAD_NAME}: {error}") from error
