"""Keeps a request that crashes servers from reaching many of them.

A request that has crashed `CRASH_LIMIT` servers is suspect. It is refused
for a backoff time, then admitted once as a trial, and refused again for much
longer unless a complete response clears it. Suspicion doesn't lapse: the
number of trials is bounded however long callers go on.
"""

from dataclasses import dataclass
from hashlib import blake2b
from math import inf

from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.suspects.record import Record
from cowslipmill.suspects.record import Summary

# Reports for the same server within this time are of the same crash.
DUPLICATE_REPORT_MS = 250
MAX_RECORDS = 4_096
# Records of requests that aren't suspect are void after this time.
RECORD_TTL_S = 600.0
MAX_RETRY_AFTER_MS = 60_000


@dataclass(frozen=True, slots=True)
class Allow:
    """The request isn't suspect and may be served."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The suspect request may be sent to one server."""


AdmissionDecision = Allow | Trial | NotRun


class SuspectRequests:
    """Crash records by the fingerprint of the request.

    Attributes:
        max_records: Maximum number of records; the least recently reported
            one that isn't suspect is evicted first.
        records: Records by fingerprint, the least recently reported first.
        cached_digest: Digest of the shared records; None after a change.
    """

    __slots__ = ('cached_digest', 'max_records', 'records')

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        """Initializes the collection without records."""
        self.max_records = max_records
        self.records: dict[bytes, Record] = {}
        self.cached_digest: int | None = None

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether a request has reached the crash limit."""
        record = self.records.get(fingerprint)
        return record is not None and record.suspect

    def hold_s(self, fingerprint: bytes, now: float) -> float:
        """Returns for how long a request is refused, in seconds.

        Args:
            fingerprint: Hash of the request.
            now: Monotonic seconds.

        Returns:
            0 if it isn't suspect or may be tried now.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.suspect:
            return 0.0
        return max(0.0, record.last_event_at + record.backoff_s() - now)

    def last_event_at(self, fingerprint: bytes) -> float:
        """Returns when the last crash or trial was, in monotonic seconds.

        Returns:
            Minus infinity without any.
        """
        record = self.records.get(fingerprint)
        return -inf if record is None else record.last_event_at

    def check(self, fingerprint: bytes, now: float) -> AdmissionDecision:
        """Decides whether a request may be served now.

        Args:
            fingerprint: Hash of the request.
            now: Monotonic seconds.

        Returns:
            `Allow` for a request that isn't suspect, `NotRun` with the retry
            delay during its backoff, else `Trial`, which is counted at once.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.suspect:
            return Allow()
        hold_s = self.hold_s(fingerprint, now)
        if hold_s > 0.0:
            return NotRun(Reason.SUSPECT, retry_after_ms(hold_s))
        record.trials += 1
        record.last_event_at = now
        self.cached_digest = None
        return Trial()

    def report_crash(
        self, fingerprint: bytes, server: str, now: float
    ) -> bool:
        """Records that a server crashed while it ran a request.

        Args:
            fingerprint: Hash of the request.
            server: Name of the server, with its incarnation if known.
            now: Monotonic seconds.

        Returns:
            False if the report is a duplicate.
        """
        record = self.touch(fingerprint)
        if not record.suspect and now - record.last_event_at > RECORD_TTL_S:
            record.crash_ids.clear()
        number = record.last_crash_number(server)
        known_at = record.crash_times.get((server, number))
        if known_at is not None:
            if now - known_at < DUPLICATE_REPORT_MS / 1000:
                return False
        record.add_crash((server, number + 1), now)
        self.cached_digest = None
        return True

    def dismiss_crash(self, fingerprint: bytes, server: str) -> bool:
        """Records that a server went on after its last reported crash.

        Returns:
            Whether there was such a report.
        """
        record = self.records.get(fingerprint)
        if record is None:
            return False
        crash = (server, record.last_crash_number(server))
        if record.crash_ids.get(crash, True):
            return False
        record.crash_ids[crash] = True
        self.cached_digest = None
        return True

    def clear(self, fingerprint: bytes, now: float) -> Summary | None:
        """Clears a request that got a complete response.

        Args:
            fingerprint: Hash of the request.
            now: Monotonic seconds.

        Returns:
            What to tell other hosts; None if it wasn't suspect.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.crashes:
            return None
        self.cached_digest = None
        if not record.shared:
            del self.records[fingerprint]
            return None
        # Kept, so that other hosts' records of before don't count again.
        cleared = Record(record.generation + 1)
        self.records[fingerprint] = cleared
        return cleared.summary(fingerprint, now)

    def return_trial(self, fingerprint: bytes) -> None:
        """Records that a trial reached no server."""
        record = self.records.get(fingerprint)
        if record is not None and record.returned_trials < record.trials:
            record.returned_trials += 1
            self.cached_digest = None

    def merge(self, summary: Summary, now: float) -> bool:
        """Adds what another host knows of a request.

        Args:
            summary: The other host's record.
            now: Monotonic seconds.

        Returns:
            Whether something was new.
        """
        fingerprint = summary.fingerprint
        known = self.records.get(fingerprint)
        before = None if known is None else known.state()
        if known is not None and summary.generation < known.generation:
            return False
        record = self.touch(fingerprint)
        if summary.generation > record.generation:
            record = Record(summary.generation)
            self.records[fingerprint] = record
        record.merge(summary, now)
        if record.state() == before:
            return False
        self.cached_digest = None
        return True

    def summary(self, fingerprint: bytes, now: float) -> Summary | None:
        """Returns what to tell other hosts of a request, if anything."""
        record = self.records.get(fingerprint)
        return None if record is None else record.summary(fingerprint, now)

    def shared_summaries(self, now: float) -> tuple[Summary, ...]:
        """Returns what a host that knows nothing needs."""
        return tuple(
            record.summary(fingerprint, now)
            for fingerprint, record in self.records.items()
            if record.shared
        )

    def digest(self) -> int:
        """Returns a hash of the shared records without their times."""
        if self.cached_digest is None:
            states = sorted(
                (fingerprint, repr(record.state()))
                for fingerprint, record in self.records.items()
                if record.shared
            )
            raw = blake2b(repr(states).encode(), digest_size=6).digest()
            self.cached_digest = int.from_bytes(raw, 'big') if states else 0
        return self.cached_digest

    def touch(self, fingerprint: bytes) -> Record:
        """Returns a record as the most recently reported one.

        It is added if there is none, and another one is evicted for it.
        """
        record = self.records.pop(fingerprint, None) or Record()
        if len(self.records) >= self.max_records:
            self.evict()
        self.records[fingerprint] = record
        return record

    def evict(self) -> None:
        """Drops the least recently reported record, suspect ones last."""
        for fingerprint, record in self.records.items():
            if not record.suspect:
                del self.records[fingerprint]
                break
        else:
            del self.records[next(iter(self.records))]
        self.cached_digest = None


def retry_after_ms(hold_s: float) -> int:
    """Returns what to tell a caller of a request that is refused so long."""
    return max(1, min(MAX_RETRY_AFTER_MS, int(hold_s * 1000)))
