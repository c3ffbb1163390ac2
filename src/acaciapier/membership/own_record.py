"""The record of this instance, and its refutation of suspicions."""

import msgspec
from logbook import Logger

from ..wire.messages.membership import MemberRecord, MemberState

log = Logger(__name__)


class OwnRecord:
    """The record that this instance publishes about itself.

    Parameters
    ----------
    record : MemberRecord
        The initial record, alive with refutation 0.
    """

    def __init__(self, record: MemberRecord):
        self.record = record

    def refute(self, refutation: int) -> MemberRecord | None:
        """Return a record that overrides a suspicion at `refutation`, if needed."""
        if self.record.state is MemberState.LEFT:
            return None
        if refutation < self.record.refutation:
            return None
        self.record = msgspec.structs.replace(self.record, refutation=refutation + 1)
        return self.record

    def answer(self, received: MemberRecord) -> MemberRecord | None:
        """Return a record that refutes a received record of this instance, if needed.

        A record with a newer incarnation is only logged: another process then runs
        under the same id.
        """
        if received.incarnation > self.record.incarnation:
            log.error(
                "another process is running as instance {} with newer incarnation {}",
                received.instance_id,
                received.incarnation,
            )
            return None
        if received.incarnation < self.record.incarnation:
            return None
        if received.state is MemberState.ALIVE:
            return None
        return self.refute(received.refutation)

    def leave(self) -> MemberRecord:
        """Mark this incarnation as left and return its final record."""
        self.record = msgspec.structs.replace(self.record, state=MemberState.LEFT)
        return self.record
