"""Incrementally updated digests of sets of records."""

import msgspec
import xxhash

_encoder = msgspec.msgpack.Encoder()


def hash_record(record: msgspec.Struct) -> int:
    """Return a 64-bit hash over all fields of `record`."""
    return xxhash.xxh3_64_intdigest(_encoder.encode(record))


def hash_text(text: str) -> int:
    """Return a 64-bit hash of `text` that is the same in all processes."""
    return xxhash.xxh3_64_intdigest(text.encode())


class BucketDigests:
    """A digest for each bucket: the XOR of the hashes of its records."""

    def __init__(self):
        self._digests: dict[str | int, int] = {}

    def toggle(self, bucket: str | int, record: msgspec.Struct) -> None:
        """Add `record` to the digest of `bucket`, or remove it if it is included."""
        digest = self._digests.get(bucket, 0) ^ hash_record(record)
        if digest:
            self._digests[bucket] = digest
        else:
            self._digests.pop(bucket, None)

    def get(self, bucket: str | int) -> int:
        """Return the digest of a bucket, or 0 if the bucket is empty."""
        return self._digests.get(bucket, 0)

    def as_dict(self) -> dict:
        """Return the digests of all non-empty buckets."""
        return dict(self._digests)
