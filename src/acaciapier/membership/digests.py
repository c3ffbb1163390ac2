"""Digests of record sets, kept up to date as records change."""

import msgspec
import xxhash

_encoder = msgspec.msgpack.Encoder()


def hash_record(record: msgspec.Struct) -> int:
    """Return a hash of 64 bits over all fields of `record`."""
    return xxhash.xxh3_64_intdigest(_encoder.encode(record))


def hash_text(text: str) -> int:
    """Return a hash of 64 bits of `text`, equal in all processes."""
    return xxhash.xxh3_64_intdigest(text.encode())


class BucketDigests:
    """One digest for each bucket: the exclusive or of its records' hashes."""

    def __init__(self):
        self._digests: dict[str | int, int] = {}

    def toggle(self, bucket: str | int, record: msgspec.Struct) -> None:
        """Add `record` to its bucket, or remove it if it was added before."""
        digest = self._digests.get(bucket, 0) ^ hash_record(record)
        if digest:
            self._digests[bucket] = digest
        else:
            self._digests.pop(bucket, None)

    def get(self, bucket: str | int) -> int:
        """Return the digest of a bucket, 0 if it is empty."""
        return self._digests.get(bucket, 0)

    def as_dict(self) -> dict:
        """Return the digests of all buckets that are not empty."""
        return dict(self._digests)
