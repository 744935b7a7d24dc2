"""Stores the outcomes of requests with idempotency keys."""

from collections.abc import Iterator
from dataclasses import dataclass

from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

MAX_RECORDS = 100_000
MAX_BYTES = 67_108_864
# Counted per record in addition to the headers and body of its response.
RECORD_OVERHEAD_BYTES = 512
PURGE_INTERVAL_S = 1.0
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000


class Record:
    """State of one key.

    Attributes:
        fingerprint: Hash of the first request with the key.
        expires_at: When the record may be removed, in monotonic seconds.
        outcome: The outcome, or None while the request runs.
    """

    __slots__ = ('expires_at', 'fingerprint', 'outcome')

    def __init__(self, fingerprint: bytes, expires_at: float) -> None:
        """Initializes the record of a request that is running."""
        self.fingerprint = fingerprint
        self.expires_at = expires_at
        self.outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Run:
    """The request is the first with its key and must be run."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The same request is running; wait for its outcome."""


@dataclass(frozen=True, slots=True)
class Respond:
    """Respond without running the request.

    Attributes:
        outcome: The stored outcome, or a refusal.
    """

    outcome: Outcome


KeyDecision = Run | Wait | Respond


class OutcomeStore:
    """Records of keys, limited in number and size.

    A full store refuses new keys; it never removes a record before it
    expires.

    Attributes:
        max_records: Maximum number of records.
        max_bytes: Maximum size of all records in bytes.
        records: Records by key.
        total_bytes: Size of all records in bytes.
        earliest_expiry: Earliest expiry of a record as of the last purge, in
            monotonic seconds.
        next_purge_at: A full store isn't purged again before this time, in
            monotonic seconds.
    """

    __slots__ = (
        'earliest_expiry',
        'max_bytes',
        'max_records',
        'next_purge_at',
        'records',
        'total_bytes',
    )

    def __init__(
        self, *, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES
    ) -> None:
        """Initializes an empty store."""
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.records: dict[str, Record] = {}
        self.total_bytes = 0
        self.earliest_expiry = 0.0
        self.next_purge_at = 0.0

    def admit(
        self, key: str, fingerprint: bytes, now: float, expires_at: float
    ) -> KeyDecision:
        """Decides whether to run a request with a key.

        Args:
            key: The key.
            fingerprint: Hash of the request.
            now: Monotonic seconds.
            expires_at: Until when the outcome must be stored, in monotonic
                seconds.

        Returns:
            `Run` for a new key, `Wait` while the same request runs, else
            `Respond`.
        """
        record = self.records.get(key)
        if record is None:
            return self.add_record(key, fingerprint, now, expires_at)
        if record.fingerprint != fingerprint:
            detail = 'another request came with this key'
            return Respond(NotRun(Reason.KEY_REUSED, 0, detail))
        if record.outcome is None:
            return Wait()
        return Respond(record.outcome)

    def add_record(
        self, key: str, fingerprint: bytes, now: float, expires_at: float
    ) -> KeyDecision:
        """Adds a record for a new key, or refuses if the store is full."""
        if self.is_full() and now >= self.next_purge_at:
            self.purge(now)
        if self.is_full():
            return Respond(
                NotRun(Reason.KEY_MEMORY_FULL, self.retry_after_ms(now))
            )
        self.records[key] = Record(fingerprint, expires_at)
        self.total_bytes += RECORD_OVERHEAD_BYTES
        return Run()

    def is_full(self) -> bool:
        """Returns whether there is no room for another record."""
        return (
            len(self.records) >= self.max_records
            or self.total_bytes + RECORD_OVERHEAD_BYTES > self.max_bytes
        )

    def retry_after_ms(self, now: float) -> int:
        """Returns the time to the earliest expiry, within limits."""
        wait_ms = int((self.earliest_expiry - now) * 1000)
        return max(MIN_RETRY_AFTER_MS, min(wait_ms, MAX_RETRY_AFTER_MS))

    def complete(self, key: str, outcome: Outcome) -> None:
        """Stores the outcome of a request that was running.

        `NotRun` removes the record, so that the key can be used again. A
        response that doesn't fit is replaced by `Unknown`.
        """
        record = self.records[key]
        if record.outcome is not None:
            return
        if isinstance(outcome, NotRun):
            self.remove(key)
            return
        size = outcome_size(outcome)
        if self.total_bytes + size > self.max_bytes:
            detail = 'the request ran, but its answer could not be kept'
            outcome = Unknown(Reason.KEY_MEMORY_FULL, 0, detail)
            size = 0
        record.outcome = outcome
        self.total_bytes += size

    def import_record(
        self, key: str, fingerprint: bytes, outcome: Outcome, expires_at: float
    ) -> bool:
        """Adds a completed record of a peer that is stopping.

        Returns:
            Whether the store now has a record of the key.
        """
        if key in self.records:
            return True
        if self.is_full():
            return False
        self.records[key] = Record(fingerprint, expires_at)
        self.total_bytes += RECORD_OVERHEAD_BYTES
        self.complete(key, outcome)
        return True

    def completed_records(self) -> Iterator[tuple[str, Record]]:
        """Yields each key whose outcome is known, with its record."""
        for key, record in self.records.items():
            if record.outcome is not None:
                yield key, record

    def purge(self, now: float) -> None:
        """Removes the expired records of requests that have completed."""
        expired = [
            key
            for key, record in self.records.items()
            if record.expires_at <= now and record.outcome is not None
        ]
        for key in expired:
            self.remove(key)
        self.next_purge_at = now + PURGE_INTERVAL_S
        self.earliest_expiry = min(
            (record.expires_at for record in self.records.values()),
            default=now,
        )

    def remove(self, key: str) -> None:
        """Removes one record."""
        record = self.records.pop(key)
        self.total_bytes -= RECORD_OVERHEAD_BYTES
        if record.outcome is not None:
            self.total_bytes -= outcome_size(record.outcome)


def outcome_size(outcome: Outcome) -> int:
    """Returns the size of an outcome's headers and body in bytes."""
    if not isinstance(outcome, Answered):
        return 0
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return len(outcome.body) + headers
