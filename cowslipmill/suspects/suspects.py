"""Which requests have crashed servers, and what to do with them."""

from dataclasses import dataclass

from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason

CRASH_LIMIT = 2
SAME_CRASH_MS = 250
MAX_RECORDS = 4_096
FORGET_MS = 600_000
FIRST_PENALTY_MS = 1_000
MAX_PENALTY_MS = 60_000
MAX_TRIAL_MS = 60_000


@dataclass(frozen=True, slots=True)
class Allow:
    """The request may be served as any other."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The request may be served once, while all others like it wait."""


AdmissionDecision = Allow | Trial | NotRun


class Record:
    """What is known of one request.

    Attributes:
        crashes: Crashes of servers that ran it.
        crashed_at: When each of those servers crashed last.
        penalty_ms: How long it is refused after the next crash.
        refused_until: Monotonic seconds.
        trial_until: When a trial that did not end is given up.
        changed_at: When the last crash was reported.
    """

    __slots__ = (
        'changed_at',
        'crashed_at',
        'crashes',
        'penalty_ms',
        'refused_until',
        'trial_until',
    )

    def __init__(self) -> None:
        """Starts without a crash."""
        self.crashes = 0
        self.crashed_at: dict[str, float] = {}
        self.penalty_ms = FIRST_PENALTY_MS
        self.refused_until = 0.0
        self.trial_until = 0.0
        self.changed_at = 0.0

    def is_same_crash(self, server: str, now: float) -> bool:
        """Tells whether another entry reported this crash already."""
        crashed_at = self.crashed_at.get(server)
        if crashed_at is None:
            return False
        return now - crashed_at < SAME_CRASH_MS / 1000

    def drop_past_crashes(self, now: float) -> None:
        """Drops the crashes that no further report can belong to."""
        since = now - SAME_CRASH_MS / 1000
        self.crashed_at = {
            server: crashed_at
            for server, crashed_at in self.crashed_at.items()
            if crashed_at > since
        }


class SuspectRequests:
    """Crash reports by the fingerprint of the request.

    Attributes:
        max_records: Bound of the number of records; the oldest goes first.
        records: Records by fingerprint, the oldest first.
    """

    __slots__ = ('max_records', 'records')

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        """Starts without suspicion."""
        self.max_records = max_records
        self.records: dict[bytes, Record] = {}

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Tells whether a request has crashed too many servers."""
        record = self.records.get(fingerprint)
        return record is not None and record.crashes >= CRASH_LIMIT

    def check(self, fingerprint: bytes, now: float) -> AdmissionDecision:
        """Decides whether a request may be served now.

        Args:
            fingerprint: Hash of the request.
            now: Monotonic seconds.
        """
        record = self.records.get(fingerprint)
        if record is None or record.crashes < CRASH_LIMIT:
            return Allow()
        if now - record.changed_at > FORGET_MS / 1000:
            del self.records[fingerprint]
            return Allow()
        free_at = max(record.refused_until, record.trial_until)
        if now < free_at:
            wait_ms = max(1, int((free_at - now) * 1000))
            return NotRun(Reason.SUSPECT, min(wait_ms, MAX_PENALTY_MS))
        record.trial_until = now + MAX_TRIAL_MS / 1000
        return Trial()

    def report_crash(
        self, fingerprint: bytes, server: str, now: float
    ) -> bool:
        """Takes in that a server crashed while it ran a request.

        Args:
            fingerprint: Hash of the request.
            server: Name and incarnation of the server.
            now: Monotonic seconds.

        Returns:
            Whether this was news.
        """
        record = self.records.pop(fingerprint, None) or Record()
        self.records[fingerprint] = record
        self.bound()
        if record.is_same_crash(server, now):
            return False
        record.drop_past_crashes(now)
        record.crashed_at[server] = now
        record.crashes += 1
        record.changed_at = now
        record.trial_until = 0.0
        if record.crashes >= CRASH_LIMIT:
            record.refused_until = now + record.penalty_ms / 1000
            record.penalty_ms = min(2 * record.penalty_ms, MAX_PENALTY_MS)
        return True

    def clear(self, fingerprint: bytes) -> bool:
        """Ends the suspicion after a whole answer.

        Returns:
            Whether there was any.
        """
        return self.records.pop(fingerprint, None) is not None

    def end_trial(self, fingerprint: bytes) -> None:
        """Ends a trial that neither crashed a server nor was answered."""
        record = self.records.get(fingerprint)
        if record is not None:
            record.trial_until = 0.0

    def bound(self) -> None:
        """Drops the oldest record when there are too many."""
        if len(self.records) > self.max_records:
            del self.records[next(iter(self.records))]
