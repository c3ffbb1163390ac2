"""Sends a request to a second worker while its worker is silent.

The worker that first has the next part of the answer goes on; the other one is left. A
worker's failure ends nothing while the other one may still answer. If others of its
service send meanwhile, a silent worker of a begun stream is left soon in any case.
"""

import math
from collections.abc import Awaitable, Callable

import trio

from .dispatch.refusal import Refused
from .models import Worker
from .request_state import RequestFailed
from .worker_silence import WorkerActivity

MAX_SENDERS = 2
"""Workers that may work on one request at once."""

PROMPT_SHARE = 0.5
"""A part that comes within this share of the time after which another worker is silent
shows that not all workers are silent."""

MAX_OVERLAP_S = 0.3
"""Longest time for which a begun stream runs at a silent worker and at another one, if
workers of the service send meanwhile."""

Outcome = tuple[str, dict]
"""How a request ended, and fields for the log."""


class Sender:
    """Sends one request to one worker after another until one has answered.

    Parameters
    ----------
    hedging : Hedging
        The senders of the request.
    """

    def __init__(self, hedging: "Hedging"):
        self.sending = False
        """Whether a worker has the request from this sender."""
        self.silent = False
        """Whether this worker has been silent since the last part of its answer."""
        self.silent_alone = False
        """Whether that one had it promptly while this one's worker was silent."""
        self.scope = trio.CancelScope()
        self._hedging = hedging
        self._worker: Worker | None = None
        self._waiting_since_s = 0.0
        self._silence_s = 0.0

    @property
    def is_hedge(self) -> bool:
        """Whether another worker, which is silent, has the request."""
        return any(one.sending and one.silent for one in self._hedging.others(self))

    @property
    def is_replaced(self) -> bool:
        """Whether another worker, which is not silent, has the request."""
        return any(one.sending and not one.silent for one in self._hedging.others(self))

    def begin(self, worker: Worker) -> None:
        """Record that a worker gets the request."""
        self.sending, self.silent = True, False
        self._worker = worker
        self._waiting_since_s = trio.current_time()

    def end(self) -> None:
        """Record that the worker no longer has the request."""
        self.sending = False
        for one in self._hedging.others(self):
            one.scope.deadline = math.inf

    @property
    def was_left(self) -> bool:
        """Whether the worker was left, since another one goes on with the request."""
        return self.scope.cancel_called

    def limit_overlap(self, activity: WorkerActivity) -> None:
        """Leave a silent worker soon, as this one gets its begun stream.

        It stays if all workers may be silent, if it has the next event in time, or if
        this one fails by then.
        """
        leave_at_s = trio.current_time() + MAX_OVERLAP_S
        for one in self._hedging.others(self):
            hedged = one.sending and one.silent
            if hedged and activity.others_send(one._worker, one._silence_s):
                one.scope.deadline = leave_at_s

    def retry(self) -> None:
        """Replace the sender that still looks for a worker, as this one does so, too.

        Together they would run the request more often than its route allows.
        """
        for one in self._hedging.others(self):
            if not one.sending:
                one.scope.cancel()

    def record_silence(self, silence_s: float) -> None:
        """Have another worker tried, too, if the request may run there.

        `silence_s` is the time without a part after which the worker is silent.
        """
        self.silent, self._silence_s = True, silence_s
        self._hedging.hedge(self)

    async def take_over(self) -> None:
        """Leave the other worker, as this one has the next part of the answer.

        A part that is there is sent, also if the request's deadline has just passed.

        Raises
        ------
        trio.Cancelled
            If the other one had it first.
        """
        if self.scope.cancel_called:
            await trio.lowlevel.checkpoint_if_cancelled()
        self.scope.deadline = math.inf
        now_s = trio.current_time()
        self._hedging.cancel_others(self, now_s - self._waiting_since_s)
        self.silent = False
        self._waiting_since_s = now_s

    def leave(self, waited_s: float) -> None:
        """Leave the worker: another one has the next part, after `waited_s`."""
        self.silent_alone = self.silent and waited_s < PROMPT_SHARE * self._silence_s
        self.scope.cancel()


class Hedging:
    """The senders of one request: one, and a second one while its worker is silent.

    Parameters
    ----------
    send : callable
        Coroutine that sends the request for a `Sender` until a worker has answered.
    may_hedge : callable
        Returns whether the request may run at a further worker.
    record_useless : callable
        Called with the failure of a sender that leaves a silent worker.
    """

    def __init__(
        self,
        send: Callable[[Sender], Awaitable[Outcome]],
        may_hedge: Callable[[], bool],
        record_useless: Callable[[RequestFailed | Refused], None],
    ):
        self._send = send
        self._may_hedge = may_hedge
        self._record_useless = record_useless
        self._senders: list[Sender] = []
        self._outcome: Outcome | None = None
        self._failure: Exception | None = None
        self._nursery: trio.Nursery | None = None

    async def run(self) -> Outcome:
        """Serve the request.

        Raises
        ------
        RequestFailed, Refused
            If all senders have failed.
        """
        async with trio.open_nursery() as self._nursery:
            await self._run_sender(self._add_sender())
        if self._outcome is not None:
            return self._outcome
        # A failure that its own traceback refers to would keep an answer in memory.
        failure, self._failure = self._failure, None
        try:
            raise failure
        finally:
            del failure

    def hedge(self, silent: Sender) -> None:
        """Add a sender, unless there are enough or the request may not run again."""
        if len(self._senders) < MAX_SENDERS and self._may_hedge():
            self._nursery.start_soon(self._run_sender, self._add_sender())

    def others(self, sender: Sender) -> list[Sender]:
        """Return the other senders."""
        return [one for one in self._senders if one is not sender]

    def cancel_others(self, sender: Sender, waited_s: float) -> None:
        """Cancel the other senders: one has the next part, after `waited_s`."""
        for one in self.others(sender):
            one.leave(waited_s)

    def _add_sender(self) -> Sender:
        sender = Sender(self)
        self._senders.append(sender)
        return sender

    async def _run_sender(self, sender: Sender) -> None:
        try:
            with sender.scope:
                self._outcome = await self._send(sender)
        except (RequestFailed, Refused) as error:
            self._failure = _more_final(error, self._failure)
            if any(one.silent for one in self.others(sender)):
                self._record_useless(error)
        except Exception as error:
            # Raised from here, it would leave the nursery as a group.
            self._outcome, self._failure = None, error
            self._nursery.cancel_scope.cancel()
        finally:
            sender.end()
            self._senders.remove(sender)


def _more_final(failure: Exception, other: Exception | None) -> Exception:
    """Return which of two failures tells the caller more; the first one if neither."""

    def rank(error: Exception | None) -> int:
        if not isinstance(error, RequestFailed):
            return 0 if error is None else 1
        return 2 if error.response is None else 3

    return max((failure, other), key=rank)
