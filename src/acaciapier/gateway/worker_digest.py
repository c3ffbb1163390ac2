"""Comparison of worker tables between instances."""

from collections.abc import Mapping

import msgspec
import xxhash

from .models import Worker, WorkerId


def with_version_of(worker: Worker, other: Worker) -> Worker:
    """Return a worker with the software version of `other` if it has none.

    Processes of earlier releases hand on workers without versions.
    """
    if worker.software_version or not other.software_version:
        return worker
    return msgspec.structs.replace(worker, software_version=other.software_version)


def worker_digest(workers: Mapping[WorkerId, Worker]) -> int:
    """Return a hash by which instances compare their worker tables.

    Cold times are no part of it: the entry of a cold worker changes with each of its
    heartbeats, and each change would have the whole fleet fetch the table.
    """
    keys = sorted((worker.key, worker.state.value) for worker in workers.values())
    return xxhash.xxh3_64_intdigest(repr(keys).encode())
