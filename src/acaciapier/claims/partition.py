"""Partitions of claims and their owners by rendezvous hashing."""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

import xxhash

from ..core.ids import InstanceId, RequestId, WorkspaceId

CLAIM_KEY_BYTES = 16
CLAIM_KIND = "claims"


@dataclass(frozen=True)
class Partitioner:
    """Maps keys to partitions, and partitions to the entries that write them.

    Ownership only reduces conflicts. If two instances both consider themselves the
    owner of a partition, conditional updates by version resolve the race.

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
        """Return the live entries by descending weight; the first one is the owner."""
        weights = {
            entry: xxhash.xxh3_64_intdigest(f"{partition}|{entry}".encode())
            for entry in live_entries
        }
        return sorted(weights, key=lambda entry: (weights[entry], entry), reverse=True)


def claim_key(workspace: WorkspaceId, request_id: RequestId) -> str:
    """Return the key of a request's claim, as a hex string.

    The cryptographic hash keeps a workspace from constructing ids whose keys
    collide with those of another workspace.
    """
    content = f"{workspace}\0{request_id.lower()}".encode()
    return blake2b(content, digest_size=CLAIM_KEY_BYTES).hexdigest()


def bucket_name(partition: int, bucket: int) -> str:
    """Return the name of a bucket's object; names of a partition sort by time."""
    return f"{partition:02d}.{bucket:010d}"


def bucket_number(name: str) -> int:
    """Return the bucket number in the name of a bucket's object."""
    return int(name.partition(".")[2])
