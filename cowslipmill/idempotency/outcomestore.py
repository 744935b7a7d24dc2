"""What became of the keyed requests that this process was home to."""

from collections.abc import Iterator
from dataclasses import dataclass

from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

MAX_RECORDS = 100_000
MAX_BYTES = 67_108_864
RECORD_BYTES = 512
PURGE_INTERVAL_S = 1.0
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000


class Record:
    """One keyed request.

    Attributes:
        fingerprint: Hash of the request that first came with the key.
        forget_at: When the record may be dropped, monotonic seconds.
        outcome: The outcome, or None while the request runs.
    """

    __slots__ = ('fingerprint', 'forget_at', 'outcome')

    def __init__(self, fingerprint: bytes, forget_at: float) -> None:
        """Starts while the request runs."""
        self.fingerprint = fingerprint
        self.forget_at = forget_at
        self.outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Run:
    """The request is the first with its key and must be run now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The request runs already; its outcome is this one's too."""


@dataclass(frozen=True, slots=True)
class Respond:
    """The outcome is known without running anything.

    Attributes:
        outcome: What to tell the caller.
    """

    outcome: Outcome


KeyDecision = Run | Wait | Respond


class OutcomeStore:
    """Records of keys, bounded in number and bytes.

    A full memory refuses new keys; it never drops a record early.

    Attributes:
        max_records: Bound of the number of records.
        max_bytes: Bound of the bytes of all records.
        records: Records by key.
        bytes: Bytes of all records.
        first_forget_at: When the first record may be dropped, as of the last
            purge.
        purge_at: When a full memory looks through its records again.
    """

    __slots__ = (
        'bytes',
        'first_forget_at',
        'max_bytes',
        'max_records',
        'purge_at',
        'records',
    )

    def __init__(
        self, *, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES
    ) -> None:
        """Starts empty."""
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.records: dict[str, Record] = {}
        self.bytes = 0
        self.first_forget_at = 0.0
        self.purge_at = 0.0

    def admit(
        self, key: str, fingerprint: bytes, now: float, forget_at: float
    ) -> KeyDecision:
        """Decides about a request that came with a key.

        Args:
            key: The key.
            fingerprint: Hash of the request.
            now: Monotonic seconds.
            forget_at: Until when its outcome must be remembered.
        """
        record = self.records.get(key)
        if record is None:
            return self.open_record(key, fingerprint, now, forget_at)
        if record.fingerprint != fingerprint:
            detail = 'another request came with this key'
            return Respond(NotRun(Reason.KEY_REUSED, 0, detail))
        if record.outcome is None:
            return Wait()
        return Respond(record.outcome)

    def open_record(
        self, key: str, fingerprint: bytes, now: float, forget_at: float
    ) -> KeyDecision:
        """Opens a record, or refuses if there is no room."""
        if self.is_full() and now >= self.purge_at:
            self.purge(now)
        if self.is_full():
            return Respond(
                NotRun(Reason.KEY_MEMORY_FULL, self.retry_after_ms(now))
            )
        self.records[key] = Record(fingerprint, forget_at)
        self.bytes += RECORD_BYTES
        return Run()

    def is_full(self) -> bool:
        """Tells whether no further record has room."""
        return (
            len(self.records) >= self.max_records
            or self.bytes + RECORD_BYTES > self.max_bytes
        )

    def retry_after_ms(self, now: float) -> int:
        """Returns when the first record may be dropped, within bounds."""
        wait_ms = int((self.first_forget_at - now) * 1000)
        return max(MIN_RETRY_AFTER_MS, min(wait_ms, MAX_RETRY_AFTER_MS))

    def complete(self, key: str, outcome: Outcome) -> None:
        """Sets the outcome of a request that was run.

        A request that was proved not to have run frees its key.
        """
        record = self.records[key]
        if record.outcome is not None:
            return
        if isinstance(outcome, NotRun):
            self.drop(key)
            return
        size = outcome_bytes(outcome)
        if self.bytes + size > self.max_bytes:
            detail = 'the request ran, but its answer could not be kept'
            outcome = Unknown(Reason.KEY_MEMORY_FULL, 0, detail)
            size = 0
        record.outcome = outcome
        self.bytes += size

    def take_over(
        self, key: str, fingerprint: bytes, outcome: Outcome, forget_at: float
    ) -> bool:
        """Takes in a record of a peer that stops.

        Returns:
            Whether the memory now knows the key.
        """
        if key in self.records:
            return True
        if self.is_full():
            return False
        self.records[key] = Record(fingerprint, forget_at)
        self.bytes += RECORD_BYTES
        self.complete(key, outcome)
        return True

    def settled(self) -> Iterator[tuple[str, Record]]:
        """Yields each key with an outcome and its record."""
        for key, record in self.records.items():
            if record.outcome is not None:
                yield key, record

    def purge(self, now: float) -> None:
        """Drops the records that need not be remembered any more."""
        over = [
            key
            for key, record in self.records.items()
            if record.forget_at <= now and record.outcome is not None
        ]
        for key in over:
            self.drop(key)
        self.purge_at = now + PURGE_INTERVAL_S
        self.first_forget_at = min(
            (record.forget_at for record in self.records.values()),
            default=now,
        )

    def drop(self, key: str) -> None:
        """Drops one record."""
        record = self.records.pop(key)
        self.bytes -= RECORD_BYTES
        if record.outcome is not None:
            self.bytes -= outcome_bytes(record.outcome)


def outcome_bytes(outcome: Outcome) -> int:
    """Returns the bytes that an outcome holds beside its record."""
    if not isinstance(outcome, Answered):
        return 0
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return len(outcome.body) + headers
