"""A replicated table that keeps the greatest record of each name."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

from msgspec import Struct
from xxhash import xxh32_intdigest

BUCKET_COUNT = 16
DIGEST_BYTES = 4


class Record(Protocol):
    """Interface of the records in a replica."""

    @property
    def name(self) -> str:
        """The name by which the replica stores the record."""

    @property
    def version_key(self) -> tuple[Any, ...]:
        """Orders the records of one name; the greatest wins a merge."""

    @property
    def is_gone(self) -> bool:
        """Whether the subject is gone, so that the record may expire."""


R = TypeVar('R', bound=Record)


class AgedRecord(Struct, Generic[R], frozen=True, array_like=True):
    """A record and its age.

    Attributes:
        record: The record.
        age_ms: Milliseconds since the record changed, as its sender knows.
    """

    record: R
    age_ms: int


class Replica(Generic[R]):
    """The greatest record known of each name.

    Merging is commutative, associative and idempotent. Names are hashed
    into buckets, and replicas compare one digest per bucket to find where
    they differ. Gone records are left out of the digests, because each
    replica purges them by its own clock.

    Attributes:
        records: Records by name.
        changed_at: When each record changed, by name, in monotonic seconds.
        retention_s: How long gone records are kept, in seconds.
        buckets: Digest of each bucket.
    """

    __slots__ = ('buckets', 'changed_at', 'records', 'retention_s')

    def __init__(self, *, retention_s: float) -> None:
        """Starts empty."""
        self.records: dict[str, R] = {}
        self.changed_at: dict[str, float] = {}
        self.retention_s = retention_s
        self.buckets = [0] * BUCKET_COUNT

    def merge(self, records: Iterable[AgedRecord[R]], now: float) -> list[R]:
        """Merges records and returns those that changed the replica.

        A gone record older than the retention time is not kept, so that a
        peer can't bring back what was purged here.
        """
        return [
            aged.record
            for aged in records
            if self.merge_one(aged.record, now - max(0, aged.age_ms) / 1000)
            and not self.purge_if_expired(aged.record, now)
        ]

    def merge_one(self, record: R, changed_at: float) -> bool:
        """Merges one record and returns whether it changed the replica."""
        known = self.records.get(record.name)
        if known is not None:
            if record.version_key <= known.version_key:
                return False
            self.toggle_digest(known)
        self.records[record.name] = record
        self.changed_at[record.name] = changed_at
        self.toggle_digest(record)
        return True

    def toggle_digest(self, record: R) -> None:
        """Adds a record to its bucket's digest, or removes it (XOR)."""
        if not record.is_gone:
            text = f'{record.name} {record.version_key}'
            self.buckets[bucket_index(record.name)] ^= xxh32_intdigest(
                text.encode()
            )

    def purge_if_expired(self, record: R, now: float) -> bool:
        """Deletes a gone record past its retention time, if it is one.

        Returns:
            Whether the record was deleted.
        """
        age_s = now - self.changed_at[record.name]
        if not record.is_gone or age_s <= self.retention_s:
            return False
        del self.records[record.name]
        del self.changed_at[record.name]
        return True

    def purge_expired(self, now: float) -> None:
        """Deletes all gone records past their retention time."""
        for record in list(self.records.values()):
            self.purge_if_expired(record, now)

    def with_age(self, record: R, now: float) -> AgedRecord[R]:
        """Returns a record with its age."""
        age_s = max(0.0, now - self.changed_at.get(record.name, now))
        return AgedRecord(record, int(age_s * 1000))

    def all_with_age(self, now: float) -> tuple[AgedRecord[R], ...]:
        """Returns every record with its age."""
        return tuple(self.with_age(r, now) for r in self.records.values())

    def digests(self) -> bytes:
        """Returns the concatenated digests of all buckets."""
        return b''.join(
            bucket.to_bytes(DIGEST_BYTES) for bucket in self.buckets
        )

    def difference(
        self, digests: bytes, limit: int, now: float
    ) -> Iterator[AgedRecord[R]]:
        """Yields the records of the buckets whose digests differ.

        Args:
            digests: Digests of the other replica; nothing is yielded if their
                length is wrong.
            limit: Maximum number of records. Buckets are yielded whole, so
                the first one may exceed it.
            now: Monotonic seconds.
        """
        if len(digests) != BUCKET_COUNT * DIGEST_BYTES:
            return
        own_digests = self.digests()
        differing = {
            index
            for index in range(BUCKET_COUNT)
            for offset in (index * DIGEST_BYTES,)
            if own_digests[offset : offset + DIGEST_BYTES]
            != digests[offset : offset + DIGEST_BYTES]
        }
        found: dict[int, list[AgedRecord[R]]] = {
            index: [] for index in differing
        }
        for record in self.records.values():
            index = bucket_index(record.name)
            if index in differing:
                found[index].append(self.with_age(record, now))
        count = 0
        for records in found.values():
            count += len(records)
            if count > limit and count > len(records):
                return
            yield from records


def bucket_index(name: str) -> int:
    """Returns the index of a name's bucket."""
    return xxh32_intdigest(name.encode(), 1) % BUCKET_COUNT
