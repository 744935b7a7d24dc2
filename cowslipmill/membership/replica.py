"""A replicated table whose records merge by a join."""

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
    """What a table needs of its records."""

    @property
    def name(self) -> str:
        """The name that the table is keyed by."""

    @property
    def version_key(self) -> tuple[Any, ...]:
        """Orders the records of one name; the greatest one wins."""

    @property
    def is_gone(self) -> bool:
        """Whether the record may be forgotten after a while."""


R = TypeVar('R', bound=Record)


class AgedRecord(Struct, Generic[R], frozen=True, array_like=True):
    """A record and how long ago it came about."""

    record: R
    age_ms: int


class Replica(Generic[R]):
    """The furthest record known of each name.

    Merging is commutative, associative and idempotent. Digests of buckets
    of names tell two replicas where they differ; records of what is gone
    stay out of them, as each replica forgets those by its own clock.

    Attributes:
        records: Records by name.
        changed_at: When each record came about, in monotonic seconds.
        retention_s: How long records of what is gone are kept.
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
        """Takes in records and returns those that were news."""
        return [
            aged.record
            for aged in records
            if self.merge_one(aged.record, now - max(0, aged.age_ms) / 1000)
            and not self.purge_if_expired(aged.record, now)
        ]

    def merge_one(self, record: R, changed_at: float) -> bool:
        """Takes in one record and tells whether it was news."""
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
        """Adds a record to the digests, or takes it out again."""
        if not record.is_gone:
            text = f'{record.name} {record.version_key}'
            self.buckets[bucket_index(record.name)] ^= xxh32_intdigest(
                text.encode()
            )

    def purge_if_expired(self, record: R, now: float) -> bool:
        """Forgets a record of what is long gone."""
        age_s = now - self.changed_at[record.name]
        if not record.is_gone or age_s <= self.retention_s:
            return False
        del self.records[record.name]
        del self.changed_at[record.name]
        return True

    def purge_expired(self, now: float) -> None:
        """Forgets every record of what is long gone."""
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
        """Returns the digests of all buckets."""
        return b''.join(
            bucket.to_bytes(DIGEST_BYTES) for bucket in self.buckets
        )

    def difference(
        self, digests: bytes, limit: int, now: float
    ) -> Iterator[AgedRecord[R]]:
        """Yields records of the buckets that differ.

        Args:
            digests: Digests of the other replica.
            limit: Most records to yield; a bucket is never cut in two.
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
    """Returns the bucket of a name."""
    return xxh32_intdigest(name.encode(), 1) % BUCKET_COUNT
