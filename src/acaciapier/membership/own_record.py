"""What an instance says about itself, and how it contradicts suspicions."""

import msgspec
from logbook import Logger

from ..wire.messages.membership import MemberRecord, MemberState

log = Logger(__name__)


class OwnRecord:
    """The word of an instance about itself.

    Parameters
    ----------
    record : MemberRecord
        The first word, alive with refutation 0.
    """

    def __init__(self, record: MemberRecord):
        self.record = record

    def refute(self, refutation: int) -> MemberRecord | None:
        """Return a word above a suspicion at `refutation`, if one is needed."""
        if self.record.state is MemberState.LEFT:
            return None
        if refutation < self.record.refutation:
            return None
        self.record = msgspec.structs.replace(self.record, refutation=refutation + 1)
        return self.record

    def answer(self, heard: MemberRecord) -> MemberRecord | None:
        """Return a word that contradicts what was heard, if it is wrong."""
        if heard.incarnation > self.record.incarnation:
            log.error(
                "another process runs as {} with incarnation {}",
                heard.instance_id,
                heard.incarnation,
            )
            return None
        if heard.incarnation < self.record.incarnation:
            return None
        if heard.state is MemberState.ALIVE:
            return None
        return self.refute(heard.refutation)

    def leave(self) -> MemberRecord:
        """Return the last word: this incarnation has left."""
        self.record = msgspec.structs.replace(self.record, state=MemberState.LEFT)
        return self.record
