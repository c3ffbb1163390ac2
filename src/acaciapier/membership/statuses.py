"""Statuses that are still to be passed on with probes."""

from ..wire.messages.membership import MemberStatus

TRANSMISSIONS = 3
MAX_STATUSES = 96
MAX_WAITING = 2_048


class StatusBuffer:
    """Newly learnt statuses, each passed on a few times, the least sent first."""

    def __init__(self):
        self._waiting: dict[str, tuple[int, MemberStatus]] = {}

    def put(self, status: MemberStatus) -> None:
        """Pass `status` on, in place of an older one of the same instance."""
        if len(self._waiting) < MAX_WAITING or status.instance_id in self._waiting:
            self._waiting[status.instance_id] = (0, status)

    def take(self) -> tuple[MemberStatus, ...]:
        """Return what goes with the next message."""
        if not self._waiting:
            return ()
        entries = sorted(self._waiting.values(), key=lambda entry: entry[0])
        chosen = entries[:MAX_STATUSES]
        for sent, status in chosen:
            if sent + 1 >= TRANSMISSIONS:
                del self._waiting[status.instance_id]
            else:
                self._waiting[status.instance_id] = (sent + 1, status)
        return tuple(status for _, status in chosen)
