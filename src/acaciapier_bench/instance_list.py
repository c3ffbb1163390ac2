"""Cost of one reading of the instance list, by its size."""

import time
from dataclasses import dataclass
from statistics import median
from typing import Annotated

import cappa
import msgspec

from acaciapier.core.clock import ManualClock
from acaciapier.membership import InstanceList, ListedInstance, TargetTable
from acaciapier.membership.list_schedule import ListReconciler

from .fleet_worker import make_targets

MS_PER_S = 1000.0


class ListAnswer(msgspec.Struct):
    """Answer of the instance list."""

    revision: int
    instances: list[ListedInstance]


@dataclass(frozen=True)
class ListCost:
    """Measured cost of one reading."""

    targets: int
    size_bytes: int
    first_ms: float
    decode_ms: float
    compare_ms: float


def measure_list(targets: int, repetitions: int) -> ListCost:
    """Return processor times, medians of `repetitions` readings without news."""
    body = _encode_list(targets)
    decoder = msgspec.json.Decoder(ListAnswer)
    clock = ManualClock()
    table = TargetTable(clock)
    reconciler = ListReconciler(table, clock)
    first_ms, decode_ms, compare_ms = 0.0, [], []
    for repetition in range(repetitions + 1):
        start_s = time.process_time()
        answer = decoder.decode(body)
        decoded_s = time.process_time()
        listed = InstanceList(1, tuple(answer.instances), len(body))
        for record in reconciler.find_updates(listed):
            table.merge(record)
        end_s = time.process_time()
        if repetition == 0:
            first_ms = (end_s - start_s) * MS_PER_S
            continue
        decode_ms.append((decoded_s - start_s) * MS_PER_S)
        compare_ms.append((end_s - decoded_s) * MS_PER_S)
    return ListCost(targets, len(body), first_ms, median(decode_ms), median(compare_ms))


def _encode_list(targets: int) -> bytes:
    listed = [
        ListedInstance(
            id=record.target_id,
            incarnation=1_790_000_000_000,
            role="target",
            data_centre=record.data_centre,
            region=record.region,
            url=record.url,
            pool=record.pool,
            kind=record.kind,
        )
        for record in make_targets(targets)
    ]
    return msgspec.json.encode(ListAnswer(1, listed))


@cappa.command(name="instance-list")
@dataclass
class InstanceListCommand:
    """Measure the cost of reading the instance list."""

    sizes: Annotated[list[int], cappa.Arg(long=True)] = (60, 3_000, 12_000)
    repetitions: Annotated[int, cappa.Arg(long=True)] = 20

    def __call__(self) -> None:
        """Print a table in Markdown."""
        print("| targets | bytes | first ms | decode ms | compare ms |")
        print("|---|---|---|---|---|")
        for size in self.sizes:
            cost = measure_list(size, self.repetitions)
            print(
                f"| {cost.targets} | {cost.size_bytes} | {cost.first_ms:.1f} "
                f"| {cost.decode_ms:.1f} | {cost.compare_ms:.1f} |"
            )


if __name__ == "__main__":
    cappa.invoke(InstanceListCommand)
