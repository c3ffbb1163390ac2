"""Partitions of claims and their owners by rendezvous hashing."""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

import xxhash

from ..core.ids import InstanceId, RequestId, WorkspaceId

KEY_BYTES = 16
CLAIM_KIND = "claims"


@dataclass(frozen=True)
class Partitioner:
    """Maps keys to partitions, and partitions to the entries that write them.

    Ownership only spares conflicts; two instances that both take themselves for
    the owner race by version.

    Parameters
    ----------
    partitions : int
        Number of partitions, the same on all instances.
    """

    partitions: int = 16

    def partition_of(self, key: str) -> int:
        """Return the partition that `key` belongs to."""
        return int(key, 16) % self.partitions

    def ranking(
        self, partition: int, live_entries: Sequence[InstanceId]
    ) -> list[InstanceId]:
        """Return the live entries by descending weight; the first is the owner."""
        weights = {
            entry: xxhash.xxh3_64_intdigest(f"{partition}|{entry}".encode())
            for entry in live_entries
        }
        return sorted(weights, key=lambda entry: (weights[entry], entry), reverse=True)


def claim_key(workspace: WorkspaceId, request_id: RequestId) -> str:
    """Return a hex hash that no workspace can aim at another's ids."""
    content = f"{workspace}\0{request_id.lower()}".encode()
    return blake2b(content, digest_size=KEY_BYTES).hexdigest()


def bucket_name(partition: int, bucket: int) -> str:
    """Return the name of a bucket's object; names sort by time."""
    return f"{partition:02d}.{bucket:010d}"


def bucket_number(name: str) -> int:
    """Return the number of the bucket that an object is named after."""
    return int(name.partition(".")[2])
