"""Ejection of servers that fail more than the others of their service.

For the case that a server passes its health check and fails requests at once:
it looks idle and would draw the requests of all callers. Only results of
requests count here; the health check changes nothing.
"""

from collections.abc import Collection
from collections.abc import Iterable
from enum import Enum
from math import log

from cowslipmill.runtime.backoff import doubled

# How long a server is ejected; doubles with each ejection, up to the maximum.
FIRST_EJECTION_S = 10.0
MAX_EJECTION_S = 60.0
# Ejections longer ago than this don't lengthen the next one.
FORGET_EJECTIONS_S = 60.0
# Answers in a row, to one request at a time, after which an ejected server is
# used as before.
TRIAL_ANSWERS = 3
# A server is ejected if one that fails as often as the others would have so
# many failures in a row with less than this probability.
MAX_CHANCE = 1e-6
# Share of failures assumed of the others at least: two in a row are enough.
MIN_FAILED_SHARE = 0.001
# Share of failures assumed of the others at most, below 1 for its logarithm.
MAX_FAILED_SHARE = 0.99
# Share of failures that a server itself is known for, up to this, counts as if
# the others had it: four in a row are needed then. One that fails now and then
# carries load that the others may have no room for.
MAX_KNOWN_SHARE = 0.03
# Weight of the latest result in a server's share of failures.
FAILED_SHARE_WEIGHT = 1 / 32
# The same in the share that other servers are compared with.
USUAL_SHARE_WEIGHT = 1 / 256
# A server is ejected if its share of failures exceeds that of the others by
# this: 4 standard deviations of the difference of two shares around a half.
MIN_EXCESS_SHARE = 0.4
# Failures don't end a trial if the others have more than this share of them.
MAX_ORDINARY_SHARE = 0.1
# At most one in this many servers is ejected or on probation.
EJECTED_DIVISOR = 2


class Outcome(Enum):
    """What the result of a lease tells of a server.

    Attributes:
        ANSWERED: It answered.
        ERROR: It answered with an error, which may be the request's fault.
        FAILED: It did not answer, or not with a whole answer of its own.
    """

    ANSWERED = 'answered'
    ERROR = 'error'
    FAILED = 'failed'


class Change(Enum):
    """How a result changed whether a server is used.

    The values are written into logs and metrics.

    Attributes:
        EJECTED: It is ejected, or again after a trial.
        RETURNED: It is used as before.
    """

    EJECTED = 'ejected'
    RETURNED = 'returned'


class Ejection:
    """Failures of one server as seen by a coordinator.

    Attributes:
        failures: Failures in a row, each of a lease granted after the one
            before was known. Those of one moment, as when a connection or a
            process breaks, count as one.
        failed_at: When the last of them was known.
        failed_share: Moving average of the share of failures and errors.
        known_share: The same before the failures in a row.
        usual_share: The same over more results.
        trial_answers: Answers missing until it is used as before; 0 unless it
            is ejected or tried again.
        ejected_until: Until when it is ejected.
        ejections: Number of ejections that lengthen the next one.
        returned_at: When it was last used as before.
        limited: Whether its leases are limited now; see `update_limits`.

    All times are in monotonic seconds.
    """

    __slots__ = (
        'ejected_until',
        'ejections',
        'failed_at',
        'failed_share',
        'failures',
        'known_share',
        'limited',
        'returned_at',
        'trial_answers',
        'usual_share',
    )

    def __init__(self) -> None:
        """Starts without failures."""
        self.failures = 0
        self.failed_at = float('-inf')
        self.failed_share = 0.0
        self.known_share = 0.0
        self.usual_share = 0.0
        self.trial_answers = 0
        self.ejected_until = float('-inf')
        self.ejections = 0
        self.returned_at = float('-inf')
        self.limited = False

    @property
    def suspected(self) -> bool:
        """Whether it has failed lately or is ejected."""
        return self.failures > 0 or self.trial_answers > 0

    @property
    def excluded(self) -> bool:
        """Whether it is ejected or tried, and the others are used."""
        return self.limited and self.trial_answers > 0

    @property
    def ejection_s(self) -> float:
        """Length of the next ejection, in seconds."""
        return doubled(FIRST_EJECTION_S, self.ejections, MAX_EJECTION_S)

    def free_leases(self, granted_at: Iterable[float], now: float) -> int:
        """Returns how many leases may be granted while it is limited.

        It gets none while it is ejected, else one at a time.

        Args:
            granted_at: When its open leases were granted.
            now: Monotonic seconds.
        """
        since = self.failed_at
        if self.trial_answers:
            if now < self.ejected_until:
                return 0
            since = self.ejected_until
        return 0 if any(at >= since for at in granted_at) else 1

    def record(
        self,
        outcome: Outcome,
        granted_at: float,
        service: 'Collection[Ejection]',
        now: float,
    ) -> Change | None:
        """Records the result of a lease.

        Args:
            outcome: What it tells of the server.
            granted_at: When the lease was granted.
            service: The servers that it is compared with, itself included.
            now: Monotonic seconds.

        Returns:
            How that changed whether the server is used; None if it didn't.
        """
        if self.trial_answers:
            if granted_at < self.ejected_until:
                return None
            return self.record_trial(outcome, service, now)
        if outcome is Outcome.ANSWERED:
            self.failed_share -= FAILED_SHARE_WEIGHT * self.failed_share
            self.usual_share -= USUAL_SHARE_WEIGHT * self.usual_share
            if self.failures and granted_at >= self.failed_at:
                self.failures = 0
                update_limits(service)
            return None
        if outcome is Outcome.FAILED:
            if granted_at < self.failed_at:
                return None
            if not self.failures:
                self.known_share = self.failed_share
            self.failures += 1
            self.failed_at = now
        self.failed_share += FAILED_SHARE_WEIGHT * (1.0 - self.failed_share)
        self.usual_share += USUAL_SHARE_WEIGHT * (1.0 - self.usual_share)
        if self.is_outlier(service):
            self.eject(now)
        update_limits(service)
        return Change.EJECTED if self.trial_answers else None

    def record_trial(
        self, outcome: Outcome, service: 'Collection[Ejection]', now: float
    ) -> Change | None:
        """Records the result of a lease after an ejection."""
        if outcome is Outcome.ANSWERED:
            self.trial_answers -= 1
            if self.trial_answers:
                return None
            self.returned_at = now
            update_limits(service)
            return Change.RETURNED
        if self.share_of_others(service) > MAX_ORDINARY_SHARE:
            return None
        self.eject(now)
        update_limits(service)
        return Change.EJECTED

    def eject(self, now: float) -> None:
        """Ejects the server from now on."""
        if now - self.returned_at > FORGET_EJECTIONS_S:
            if not self.trial_answers:
                self.ejections = 0
        self.ejected_until = now + self.ejection_s
        self.ejections += 1
        self.trial_answers = TRIAL_ANSWERS
        self.failures = 0
        self.failed_share = 0.0

    def is_outlier(self, service: 'Collection[Ejection]') -> bool:
        """Returns whether it fails while most of the others do not.

        If many servers fail at once, the cause is rather the network, the
        load or a request that crashes servers.
        """
        if not self.failures and self.failed_share < MIN_EXCESS_SHARE:
            return False
        suspected = sum(
            other.suspected for other in service if other is not self
        )
        if suspected + 1 > len(service) // EJECTED_DIVISOR:
            return False
        usual = self.share_of_others(service)
        if self.failed_share >= usual + MIN_EXCESS_SHARE:
            return True
        known = min(MAX_KNOWN_SHARE, self.known_share)
        usual = min(MAX_FAILED_SHARE, max(MIN_FAILED_SHARE, usual, known))
        return self.failures * log(usual) <= log(MAX_CHANCE)

    def share_of_others(self, service: 'Collection[Ejection]') -> float:
        """Returns the median share of failures of the other servers.

        It is the higher one of two averages, so that neither a sudden rise
        nor chance has the others look better than they are.
        """
        shares = sorted(
            max(other.failed_share, other.usual_share)
            for other in service
            if other is not self
        )
        return shares[(len(shares) - 1) // 2] if shares else 0.0


def update_limits(service: Collection[Ejection]) -> None:
    """Updates which servers are limited.

    No server is if all fail. Those that only have
    failed lately aren't if they are many, since the limit would cost more
    than it saves.
    """
    suspected = sum(server.suspected for server in service)
    few = suspected <= len(service) // EJECTED_DIVISOR
    for server in service:
        if server.trial_answers:
            server.limited = suspected < len(service)
        else:
            server.limited = few and server.failures > 0
