"""The log of accepted changes.

Conditional updates of the head alone give all changes a single order.
"""

from random import Random

import msgspec
import trio
from result import Err, Ok, Result

from ..core.clock import Clock, epoch_ms, to_s
from ..exceptions import AcaciapierError, StoreUnavailable, VersionConflict
from ..objects import Change
from .answers import Accepted, Submission, SubmitFailure, accepted_answer
from .archive import Archive, ArchiveObjectMissing
from .catchup import catch_up
from .decisions import PatchRecord, decide, patch_record
from .interfaces import PURPOSE, Store
from .limits import LogLimits
from .log_state import LogState
from .records import HEAD_KIND, HEAD_NAME, Head, from_value, to_value
from .requests import RequestedChange
from .state import ConfigurationState
from .trimming import HeadTrimmer

MAX_ATTEMPTS = 12
MAX_HEAD_READS = 4
MIN_RETRY_DELAY_MS = 20.0
MAX_RETRY_DELAY_MS = 1_000.0
DEFAULT_TIMEOUT_MS = 5_000.0


class HeadCorrupt(AcaciapierError):
    """The head in the object API cannot be decoded."""


class ConfigurationLog:
    """Reads the log and appends to it; used by administration instances.

    Parameters
    ----------
    store : Store
        Client of the object API.
    clock : Clock
        Source of the time that is recorded with a change.
    random : Random
        Source of retry jitter and of unique snapshot names.
    limits : LogLimits, optional
        When to trim the head, and how much history is retained.

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
        self._log_state = LogState(limits)
        self._trimmer = HeadTrimmer(self.archive, self._log_state, limits)
        self._head = Head()
        self._head_version = 0
        self._lock = trio.Lock()

    @property
    def state(self) -> ConfigurationState:
        """The newest state that this instance has read or written."""
        return self._log_state.state

    @property
    def head(self) -> Head:
        """The newest head that this instance has read or written."""
        return self._head

    async def refresh(self) -> ConfigurationState:
        """Read the head, apply new changes and return the resulting state.

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
    ) -> Result[Accepted, SubmitFailure]:
        """Append a change to the log, or return why it was not accepted.

        A result other than `Unavailable` is final: an accepted change stays in
        the log, and a refused one is not in it.
        """
        submission = Submission(request)
        with trio.move_on_after(to_s(timeout_ms)):
            async with self._lock:
                return await self._submit(submission)
        return Err(submission.unavailable(self.state.number))

    async def block_starts(self) -> tuple[int, ...]:
        """Return the first change number of each retained history block, in order."""
        return await self._trimmer.block_starts(self._head)

    async def _submit(self, submission: Submission) -> Result[Accepted, SubmitFailure]:
        for attempt in range(MAX_ATTEMPTS):
            try:
                answer = await self._try_once(submission)
            except (StoreUnavailable, ArchiveObjectMissing):
                await self._wait_before_retry(attempt)
                continue
            if answer is not None:
                return answer
        return Err(submission.unavailable(self.state.number))

    async def _try_once(
        self, submission: Submission
    ) -> Result[Accepted, SubmitFailure] | None:
        """Check the request and update the head once; return None to try again.

        A refusal counts only if it was decided on a state read during this call.
        """
        if submission.needs_refresh or self.state.number < submission.at_least_number:
            await self._refresh()
            if self.state.number < submission.at_least_number:
                raise StoreUnavailable("the object API answers from an older copy")
        made_at_ms = epoch_ms(self._clock.now())
        request = submission.request
        decision = decide(self.state, self._log_state.patches, request, made_at_ms)
        if isinstance(decision, Err):
            if submission.needs_refresh:
                return decision
            submission.needs_refresh = True
            return None
        if isinstance(decision.ok_value, PatchRecord):
            return Ok(accepted_answer(request, decision.ok_value, submission.is_resend))
        return await self._append(submission, decision.ok_value)

    async def _append(
        self, submission: Submission, change: Change
    ) -> Result[Accepted, SubmitFailure] | None:
        submission.needs_refresh = True
        head = await self._trimmer.next_head(self._head, change)
        landed_before = submission.may_have_landed
        submission.may_have_landed = submission.is_sent = True
        submission.at_least_number = max(submission.at_least_number, change.number - 1)
        try:
            version = await self._put_head(head)
        except VersionConflict:
            return None
        except StoreUnavailable as error:
            submission.may_have_landed = landed_before or error.may_have_landed
            raise
        trimmed = head.snapshot != self._head.snapshot
        self._set_head(head, version, change)
        if trimmed:
            await self._delete_expired_objects()
        return Ok(accepted_answer(submission.request, patch_record(change), False))

    async def _put_head(self, head: Head) -> int:
        return await self._store.put(
            HEAD_KIND, HEAD_NAME, to_value(head), self._head_version, purpose=PURPOSE
        )

    def _set_head(self, head: Head, version: int, change: Change) -> None:
        self._log_state.apply(change)
        self._head = head
        self._head_version = version

    async def _refresh(self) -> None:
        for _ in range(MAX_HEAD_READS):
            found = await self._store.get(HEAD_KIND, HEAD_NAME, purpose=PURPOSE)
            if found is None or found.version <= self._head_version:
                return
            head = _read_head(found.value)
            try:
                await catch_up(self._log_state, head, self.archive)
            except ArchiveObjectMissing:
                continue
            self._head = head
            self._head_version = found.version
            return
        raise StoreUnavailable("the configuration's archive is behind its head")

    async def _delete_expired_objects(self) -> None:
        """Delete superseded snapshots and expired blocks; stop if the store fails.

        Snapshots that remain are deleted with the next snapshot.
        """
        try:
            for first in self._trimmer.expired_block_starts:
                await self.archive.delete_block(first)
            await self.archive.delete_old_snapshots(self._head)
        except StoreUnavailable:
            return

    async def _wait_before_retry(self, attempt: int) -> None:
        delay_ms = min(MIN_RETRY_DELAY_MS * 2**attempt, MAX_RETRY_DELAY_MS)
        await trio.sleep(to_s(delay_ms * self._random.uniform(0.5, 1.0)))


def _read_head(value) -> Head:
    try:
        return from_value(value, Head)
    except msgspec.ValidationError as error:
        raise HeadCorrupt(f"{HEAD_KIND}/{HEAD_NAME}: {error}") from error
