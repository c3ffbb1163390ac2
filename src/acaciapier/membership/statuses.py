"""Statuses that are waiting to be sent along with probes."""

from ..wire.messages.membership import MemberStatus

MAX_TRANSMISSIONS = 3
MAX_STATUSES_PER_MESSAGE = 96
MAX_PENDING_STATUSES = 2_048


class StatusBuffer:
    """New statuses; each is sent several times, those sent least often first."""

    def __init__(self):
        self._pending: dict[str, tuple[int, MemberStatus]] = {}

    def put(self, status: MemberStatus) -> None:
        """Queue `status`, replacing an older one of the same instance.

        If the buffer is full, statuses of further instances are dropped.
        """
        if (
            len(self._pending) < MAX_PENDING_STATUSES
            or status.instance_id in self._pending
        ):
            self._pending[status.instance_id] = (0, status)

    def next_batch(self) -> tuple[MemberStatus, ...]:
        """Return the statuses for the next message and count them as sent."""
        if not self._pending:
            return ()
        entries = sorted(self._pending.values(), key=lambda entry: entry[0])
        chosen = entries[:MAX_STATUSES_PER_MESSAGE]
        for sent, status in chosen:
            if sent + 1 >= MAX_TRANSMISSIONS:
                del self._pending[status.instance_id]
            else:
                self._pending[status.instance_id] = (sent + 1, status)
        return tuple(status for _, status in chosen)
