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
    def key(self) -> tuple[Any, ...]:
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
        memory_s: How long records of what is gone are kept.
        buckets: Digest of each bucket.
    """

    __slots__ = ('buckets', 'changed_at', 'memory_s', 'records')

    def __init__(self, *, memory_s: float) -> None:
        """Starts empty."""
        self.records: dict[str, R] = {}
        self.changed_at: dict[str, float] = {}
        self.memory_s = memory_s
        self.buckets = [0] * BUCKET_COUNT

    def merge(self, news: Iterable[AgedRecord[R]], now: float) -> list[R]:
        """Takes in records and returns those that were news."""
        return [
            aged.record
            for aged in news
            if self.merge_one(aged.record, now - max(0, aged.age_ms) / 1000)
            and not self.forget_if_old(aged.record, now)
        ]

    def merge_one(self, record: R, changed_at: float) -> bool:
        """Takes in one record and tells whether it was news."""
        known = self.records.get(record.name)
        if known is not None:
            if record.key <= known.key:
                return False
            self.toggle(known)
        self.records[record.name] = record
        self.changed_at[record.name] = changed_at
        self.toggle(record)
        return True

    def toggle(self, record: R) -> None:
        """Adds a record to the digests, or takes it out again."""
        if not record.is_gone:
            text = f'{record.name} {record.key}'
            self.buckets[bucket_of(record.name)] ^= xxh32_intdigest(
                text.encode()
            )

    def forget_if_old(self, record: R, now: float) -> bool:
        """Forgets a record of what is long gone."""
        age_s = now - self.changed_at[record.name]
        if not record.is_gone or age_s <= self.memory_s:
            return False
        del self.records[record.name]
        del self.changed_at[record.name]
        return True

    def forget_old(self, now: float) -> None:
        """Forgets every record of what is long gone."""
        for record in list(self.records.values()):
            self.forget_if_old(record, now)

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
        mine = self.digests()
        differing = {
            index
            for index in range(BUCKET_COUNT)
            for place in (index * DIGEST_BYTES,)
            if mine[place : place + DIGEST_BYTES]
            != digests[place : place + DIGEST_BYTES]
        }
        found: dict[int, list[AgedRecord[R]]] = {
            index: [] for index in differing
        }
        for record in self.records.values():
            index = bucket_of(record.name)
            if index in differing:
                found[index].append(self.with_age(record, now))
        count = 0
        for records in found.values():
            count += len(records)
            if count > limit and count > len(records):
                return
            yield from records


def bucket_of(name: str) -> int:
    """Returns the bucket of a name."""
    return xxh32_intdigest(name.encode(), 1) % BUCKET_COUNT
