"""What is known of one request that crashed servers."""

from math import inf
from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.runtime.names import Name

CRASH_LIMIT = 2
# Crashes beyond these change no decision and aren't kept.
MAX_CRASHES = 16
# Backoff before the first trial of a request that ended servers. It exceeds
# the time within which all hosts learn of a crash.
FIRST_BACKOFF_S = 5.0
# Each trial lengthens the backoff by this factor, so that no day sees more
# than a few: 5 s, 21 minutes, 4 days.
BACKOFF_FACTOR = 256
MAX_BACKOFF_EXPONENT = 8
# Backoff of a request under which connections broke although the servers went
# on; it doubles with each crash.
FIRST_SHORT_BACKOFF_S = 1.0
MAX_SHORT_BACKOFF_S = 60.0
# Longest hash of a request that is accepted of another host.
MAX_FINGERPRINT_BYTES = 64

# A server, with its incarnation if known, and the number of its crash.
CrashId = tuple[Name, int]


class Summary(Struct, frozen=True, array_like=True):
    """A record as hosts tell it to each other.

    Attributes:
        fingerprint: Hash of the request.
        generation: Number of times that the request was cleared.
        crashes: The crashes since, each with whether it was dismissed.
        trials: Number of trials started since.
        returned_trials: Number of those that reached no server.
        age_s: Seconds since the last crash or trial; not negative.
    """

    fingerprint: Annotated[bytes, Meta(max_length=MAX_FINGERPRINT_BYTES)]
    generation: int
    crashes: tuple[tuple[Name, int, bool], ...]
    trials: int
    returned_trials: int
    age_s: float


class Record:
    """Crashes and trials of one request; times are in monotonic seconds.

    Records of the same request merge to the same result in any order.

    Attributes:
        generation: Number of times that the request was cleared; records of
            an earlier generation are void.
        crash_ids: The crashes, each with whether it was dismissed since the
            server went on.
        trials: Number of trials started.
        returned_trials: Number of those that reached no server.
        last_event_at: When the last crash or trial was; minus infinity
            without any.
        crash_times: When crashes became known here, to recognize duplicate
            reports.
    """

    __slots__ = (
        'crash_ids',
        'crash_times',
        'generation',
        'last_event_at',
        'returned_trials',
        'trials',
    )

    def __init__(self, generation: int = 0) -> None:
        """Starts without crashes."""
        self.generation = generation
        self.crash_ids: dict[CrashId, bool] = {}
        self.trials = 0
        self.returned_trials = 0
        self.last_event_at = -inf
        self.crash_times: dict[CrashId, float] = {}

    @property
    def crashes(self) -> int:
        """Number of crashes, including dismissed ones."""
        return len(self.crash_ids)

    @property
    def confirmed_crashes(self) -> int:
        """Number of crashes that weren't dismissed."""
        return sum(not dismissed for dismissed in self.crash_ids.values())

    @property
    def suspect(self) -> bool:
        """Whether the request has reached the crash limit."""
        return self.crashes >= CRASH_LIMIT

    @property
    def shared(self) -> bool:
        """Whether hosts that lack this record need it."""
        return self.suspect or self.generation > 0

    def last_crash_number(self, server: str) -> int:
        """Returns the number of a server's last crash; 0 if there is none."""
        return max((n for s, n in self.crash_ids if s == server), default=0)

    def add_crash(self, crash: CrashId, now: float) -> None:
        """Adds a crash unless there are `MAX_CRASHES` already."""
        self.last_event_at = max(self.last_event_at, now)
        if len(self.crash_ids) < MAX_CRASHES:
            self.crash_ids[crash] = False
            self.crash_times[crash] = now

    def backoff_s(self) -> float:
        """Returns how long after its last event the request is refused."""
        if self.confirmed_crashes < CRASH_LIMIT:
            doublings = self.crashes - CRASH_LIMIT
            backoff_s: float = FIRST_SHORT_BACKOFF_S * 2**doublings
            return min(MAX_SHORT_BACKOFF_S, backoff_s)
        trials = self.trials - self.returned_trials
        exponent = min(MAX_BACKOFF_EXPONENT, max(0, trials))
        factor: int = BACKOFF_FACTOR**exponent
        return FIRST_BACKOFF_S * factor

    def merge(self, summary: Summary, now: float) -> None:
        """Adds what another host knows of the same generation."""
        for server, number, dismissed in summary.crashes:
            crash = (server, number)
            if crash not in self.crash_ids:
                self.crash_times[crash] = now
            known = self.crash_ids.get(crash, False)
            self.crash_ids[crash] = known or dismissed
        self.trials = max(self.trials, summary.trials)
        self.returned_trials = max(
            self.returned_trials, summary.returned_trials
        )
        event_at = now - max(0.0, summary.age_s)
        self.last_event_at = max(self.last_event_at, event_at)

    def state(self) -> tuple[object, ...]:
        """Returns all but the times, to compare records of different hosts."""
        crashes = sorted((*crash, d) for crash, d in self.crash_ids.items())
        return (self.generation, crashes, self.trials, self.returned_trials)

    def summary(self, fingerprint: bytes, now: float) -> Summary:
        """Returns the record as other hosts are told it.

        Args:
            fingerprint: Hash of the request.
            now: Monotonic seconds.
        """
        age_s = 0.0
        if self.last_event_at > -inf:
            age_s = round(max(0.0, now - self.last_event_at), 3)
        return Summary(
            fingerprint,
            self.generation,
            tuple(sorted((*crash, d) for crash, d in self.crash_ids.items())),
            self.trials,
            self.returned_trials,
            age_s,
        )
