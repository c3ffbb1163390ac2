"""Shares the quarantine's records between instances."""

from collections.abc import Iterable

from ..core.ids import Fingerprint, Incarnation, PoolName, TargetId
from ..membership import Rumours
from ..policy import PathPolicy, Strike, StrikeKind
from ..wire.messages.quarantine import StrikeRecord, Strikes

MAX_RECORDS_PER_MESSAGE = 64


class StrikeSharing:
    """Spreads new records as rumours, and merges those of other instances.

    Parameters
    ----------
    policy : PathPolicy
        Keeps the records.
    rumours : Rumours
        Reaches every instance.
    """

    def __init__(self, policy: PathPolicy, rumours: Rumours):
        self._policy = policy
        self._rumours = rumours
        rumours.on_new(Strikes, self._merge)

    def publish_new(self) -> None:
        """Spread the records made here since the last call."""
        records = [_to_record(strike) for strike in self._policy.take_new_strikes()]
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            part = records[start : start + MAX_RECORDS_PER_MESSAGE]
            self._rumours.publish(Strikes(tuple(part)))

    def _merge(self, message: Strikes) -> None:
        self._policy.merge_strikes(_to_strikes(message.records))


def _to_record(strike: Strike) -> StrikeRecord:
    return StrikeRecord(
        strike.record_id,
        strike.kind.value,
        strike.fingerprint,
        strike.pool,
        strike.target,
        strike.incarnation,
        strike.at_ms,
    )


def _to_strikes(records: Iterable[StrikeRecord]) -> list[Strike]:
    return [
        Strike(
            record_id=record.record_id,
            kind=StrikeKind(record.kind),
            fingerprint=Fingerprint(record.fingerprint),
            pool=PoolName(record.pool) if record.pool is not None else None,
            target=TargetId(record.target) if record.target is not None else None,
            incarnation=(
                Incarnation(record.incarnation)
                if record.incarnation is not None
                else None
            ),
            at_ms=record.at_ms,
        )
        for record in records
    ]
