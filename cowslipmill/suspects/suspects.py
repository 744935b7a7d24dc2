"""Keeps a request that crashes servers from reaching many of them.

A request that has crashed `CRASH_LIMIT` servers is suspect. It is refused
for a backoff time that doubles with each crash, then admitted once at a time
as a trial. A complete response clears it, and so does `SUSPICION_TTL_MS`
without a crash.
"""

from dataclasses import dataclass

from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason

CRASH_LIMIT = 2
# Reports for the same server within this time are of the same crash.
DUPLICATE_REPORT_MS = 250
MAX_RECORDS = 4_096
SUSPICION_TTL_MS = 600_000
INITIAL_BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 60_000
MAX_TRIAL_MS = 60_000


@dataclass(frozen=True, slots=True)
class Allow:
    """The request isn't suspect and may be served."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The suspect request may be served; equal ones are refused meanwhile."""


AdmissionDecision = Allow | Trial | NotRun


class Record:
    """Crash history of one request; times are in monotonic seconds.

    Attributes:
        crashes: Number of server crashes with the request.
        crash_times: Time of the last crash of each server, as long as a
            duplicate report may arrive.
        backoff_ms: How long the request is refused after the next crash, in
            milliseconds.
        refused_until: End of the backoff after the last crash.
        trial_expires_at: When another trial may start although the running
            one hasn't ended; 0 if none is running.
        last_crash_at: When the last crash was reported.
    """

    __slots__ = (
        'backoff_ms',
        'crash_times',
        'crashes',
        'last_crash_at',
        'refused_until',
        'trial_expires_at',
    )

    def __init__(self) -> None:
        """Initializes a record without crashes."""
        self.crashes = 0
        self.crash_times: dict[str, float] = {}
        self.backoff_ms = INITIAL_BACKOFF_MS
        self.refused_until = 0.0
        self.trial_expires_at = 0.0
        self.last_crash_at = 0.0

    def is_duplicate_report(self, server: str, now: float) -> bool:
        """Returns whether this crash of a server was reported before."""
        crashed_at = self.crash_times.get(server)
        if crashed_at is None:
            return False
        return now - crashed_at < DUPLICATE_REPORT_MS / 1000

    def drop_old_crash_times(self, now: float) -> None:
        """Drops crash times too old for a report to be a duplicate."""
        cutoff = now - DUPLICATE_REPORT_MS / 1000
        self.crash_times = {
            server: crashed_at
            for server, crashed_at in self.crash_times.items()
            if crashed_at > cutoff
        }


class SuspectRequests:
    """Crash records by the fingerprint of the request.

    Attributes:
        max_records: Maximum number of records; the least recently reported
            one is evicted first.
        records: Records by fingerprint, the least recently reported first.
    """

    __slots__ = ('max_records', 'records')

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        """Initializes the collection without records."""
        self.max_records = max_records
        self.records: dict[bytes, Record] = {}

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether a request has reached the crash limit."""
        record = self.records.get(fingerprint)
        return record is not None and record.crashes >= CRASH_LIMIT

    def check(self, fingerprint: bytes, now: float) -> AdmissionDecision:
        """Decides whether a request may be served now.

        Args:
            fingerprint: Hash of the request.
            now: Monotonic seconds.

        Returns:
            `Allow` for a request that isn't suspect, `NotRun` with the retry
            delay during its backoff or a trial, else `Trial`. A trial runs
            until `end_trial`, `clear`, the next crash report or
            `MAX_TRIAL_MS`.
        """
        record = self.records.get(fingerprint)
        if record is None or record.crashes < CRASH_LIMIT:
            return Allow()
        if now - record.last_crash_at > SUSPICION_TTL_MS / 1000:
            del self.records[fingerprint]
            return Allow()
        allowed_at = max(record.refused_until, record.trial_expires_at)
        if now < allowed_at:
            wait_ms = max(1, int((allowed_at - now) * 1000))
            return NotRun(Reason.SUSPECT, min(wait_ms, MAX_BACKOFF_MS))
        record.trial_expires_at = now + MAX_TRIAL_MS / 1000
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
        record = self.records.pop(fingerprint, None) or Record()
        self.records[fingerprint] = record
        self.evict_least_recent()
        if record.is_duplicate_report(server, now):
            return False
        record.drop_old_crash_times(now)
        record.crash_times[server] = now
        record.crashes += 1
        record.last_crash_at = now
        record.trial_expires_at = 0.0
        if record.crashes >= CRASH_LIMIT:
            record.refused_until = now + record.backoff_ms / 1000
            record.backoff_ms = min(2 * record.backoff_ms, MAX_BACKOFF_MS)
        return True

    def clear(self, fingerprint: bytes) -> bool:
        """Removes the record of a request that got a complete response.

        Returns:
            Whether there was a record.
        """
        return self.records.pop(fingerprint, None) is not None

    def end_trial(self, fingerprint: bytes) -> None:
        """Ends a trial, so that the next one may start."""
        record = self.records.get(fingerprint)
        if record is not None:
            record.trial_expires_at = 0.0

    def evict_least_recent(self) -> None:
        """Drops the least recently reported record beyond `max_records`."""
        if len(self.records) > self.max_records:
            del self.records[next(iter(self.records))]
