"""State that a coordinator keeps for one server."""

from cowslipmill.leasing.ejection import Ejection
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.load import Load
from cowslipmill.leasing.ratelimits import RateBucket
from cowslipmill.leasing.warmup import WarmUp
from cowslipmill.runtime.backoff import doubled
from cowslipmill.view.server import ServerRecord

# A request whose lease was younger than this when the server reported its load
# may not have reached it by then: one hop between failure domains and the
# set-up of a connection.
IN_TRANSIT_S = 0.006
# Load reports older than this aren't used for a server's occupancy.
LOAD_REPORT_MAX_AGE_S = 0.25
# Servers with at least this many slots are loaded only up to this share of
# them, the knee of their latency curve, since many servers slow down beyond
# it.
MIN_SLOTS_FOR_KNEE = 4
KNEE_SHARE = 0.8
# Time without a result in which the failure rate halves.
FAILURE_HALF_LIFE_S = 2.0
# Weight of the latest result in the failure rate.
FAILURE_SMOOTHING = 0.25
# How much each result counts as a failure; others count 0.
FAILURE_SCORES = {
    LeaseResult.FAILED: 1.0,
    LeaseResult.BROKEN: 1.0,
    LeaseResult.UNREACHABLE: 1.0,
    LeaseResult.SHED: 0.6,
    LeaseResult.WRONG_SERVER: 1.0,
}
# How long a server is blocked after it could not be reached; doubles with each
# failure in a row, up to the maximum.
FIRST_BLOCK_S = 0.1
MAX_BLOCK_S = 2.0
# How long a server is blocked after it shed a request because it was full.
SHED_BLOCK_S = 0.03
# A server with this slowdown or more counts as slow.
SLOW_THRESHOLD = 1.5


class Lease:
    """One lease on a slot of a server.

    Attributes:
        granted_at: When it was granted, in monotonic seconds.
        expires_at: When the request's deadline has passed for certain, in
            monotonic seconds.
        route: Name of the request's route.
    """

    __slots__ = ('expires_at', 'granted_at', 'route')

    def __init__(
        self, granted_at: float, expires_at: float, route: str
    ) -> None:
        """Creates a lease."""
        self.granted_at = granted_at
        self.expires_at = expires_at
        self.route = route


class ServerSlots:
    """Leases, load and failures of one server.

    Attributes:
        record: The server's entry in the platform's store.
        missing: Whether that entry has vanished from the store without notice.
        leases: Open leases by lease key.
        load: Its last load report; None if there is none to go by.
        load_sampled_at: When the probe for that report was sent.
        released_since_report: Number of leases released after that report
            that the report still counted.
        blocked_until: When it may be used again after a failure.
        consecutive_blocks: Number of times that it was blocked in a row.
        reports_load: Whether it reports its load; None until it has
            responded.
        failed_probes: Number of load probes in a row without a response.
        slow_since: Since when its reports show it as slow; None if fast.
        failure_rate: Moving average of `FAILURE_SCORES` over the results of
            its leases.
        failure_rate_at: When that average was computed.
        paused_until: Until when it wants nothing from this host.
        rate_bucket: Limits the grants to the rate that the server named;
            None if it named none.
        warm_up: How long it stays cold, and the limit of grants until then.
        ejection: Whether it fails more than the other servers.

    All times are in monotonic seconds.
    """

    __slots__ = (
        'blocked_until',
        'consecutive_blocks',
        'ejection',
        'failed_probes',
        'failure_rate',
        'failure_rate_at',
        'leases',
        'load',
        'load_sampled_at',
        'missing',
        'paused_until',
        'rate_bucket',
        'record',
        'released_since_report',
        'reports_load',
        'slow_since',
        'warm_up',
    )

    def __init__(self, record: ServerRecord, now: float) -> None:
        """Starts without leases.

        Args:
            record: The server's entry, with the warm-up that remains now.
            now: Monotonic seconds.
        """
        self.record = record
        self.missing = False
        self.leases: dict[LeaseKey, Lease] = {}
        self.load: Load | None = None
        self.load_sampled_at = float('-inf')
        self.released_since_report = 0
        self.warm_up = WarmUp(record, now)
        self.blocked_until = 0.0
        self.paused_until = float('-inf')
        self.consecutive_blocks = 0
        self.failed_probes = 0
        self.reports_load: bool | None = None
        self.slow_since: float | None = None
        self.failure_rate = 0.0
        self.failure_rate_at = now
        self.rate_bucket: RateBucket | None = None
        self.ejection = Ejection()

    @property
    def name(self) -> str:
        """The server's name."""
        return self.record.name

    @property
    def usable_slots(self) -> int:
        """Number of requests that it may process without slowing down."""
        slots = self.record.slots
        if slots < MIN_SLOTS_FOR_KNEE:
            return slots
        return max(1, int(slots * KNEE_SHARE))

    def load_age_s(self, now: float) -> float:
        """Returns the age of the last load report, in seconds."""
        return now - self.load_sampled_at

    def occupancy(self, now: float) -> int:
        """Returns how many requests the server is taken to have.

        A recent report counts the requests of all coordinators; leases that
        it may not have counted are added, and counted ones released since are
        subtracted. Without a recent report, open leases are counted.
        """
        if not self.reports_load or self.load is None:
            return len(self.leases)
        if self.load_age_s(now) > LOAD_REPORT_MAX_AGE_S:
            return len(self.leases)
        counted_until = self.load_sampled_at - IN_TRANSIT_S
        uncounted = sum(
            lease.granted_at > counted_until for lease in self.leases.values()
        )
        counted = (
            self.load.running + self.load.waiting - self.released_since_report
        )
        return max(0, counted) + uncounted

    def free_slots(self, now: float) -> int:
        """Returns how many more requests it may get; negative if too many."""
        free_slots = self.usable_slots - self.occupancy(now)
        if self.ejection.limited:
            granted_at = (lease.granted_at for lease in self.leases.values())
            free_leases = self.ejection.free_leases(granted_at, now)
            free_slots = min(free_slots, free_leases)
        if self.rate_bucket is not None:
            free_slots = min(free_slots, self.rate_bucket.available(now))
        warm_up_tokens = self.warm_up.available(now)
        if warm_up_tokens is not None:
            free_slots = min(free_slots, warm_up_tokens)
        return free_slots

    def set_record(
        self, record: ServerRecord, now: float, *, missing: bool
    ) -> None:
        """Sets the server's entry.

        Args:
            record: The entry, with the warm-up that remains now.
            now: Monotonic seconds.
            missing: Whether it has vanished from the store without notice.
        """
        self.record = record
        self.missing = missing
        self.warm_up.record_entry(record.warm_up_s, now)

    def limited_per_s(self, now: float) -> float | None:
        """Returns the lower rate of both limits; None if there is none now."""
        warm_up_per_s = self.warm_up.limited_per_s(now)
        if self.rate_bucket is None:
            return warm_up_per_s
        if warm_up_per_s is None:
            return self.rate_bucket.per_s
        return min(warm_up_per_s, self.rate_bucket.per_s)

    def token_wait_s(self, now: float) -> float:
        """Returns the seconds until both limits allow a grant."""
        wait_s = self.warm_up.wait_s(now)
        if self.rate_bucket is not None:
            wait_s = max(wait_s, self.rate_bucket.wait_s(now))
        return wait_s

    def allows_older_report(self) -> bool:
        """Returns whether its report counts if it isn't from right now.

        The server may have turned cold since. If that matters, the report
        counts for one request only, since a further one might be granted
        again and again until the next report.
        """
        warm_up = self.warm_up
        return (
            warm_up.bucket is None or warm_up.granted_at < self.load_sampled_at
        )

    def spend_token(self, now: float) -> None:
        """Counts a grant towards both limits."""
        if self.rate_bucket is not None:
            self.rate_bucket.spend()
        self.warm_up.spend(now)

    def limit_rate(
        self, per_s: float | None, max_tokens: float, now: float
    ) -> None:
        """Limits the rate of grants.

        Args:
            per_s: Requests a second; None for no limit.
            max_tokens: Requests that may be saved up.
            now: Monotonic seconds.
        """
        if per_s is None:
            self.rate_bucket = None
            return
        if self.rate_bucket is None:
            self.rate_bucket = RateBucket(now)
        self.rate_bucket.set_rate(per_s, max_tokens, now)

    def pause(self, until: float) -> None:
        """Keeps the server out of use until a time, in monotonic seconds."""
        self.paused_until = until
        self.blocked_until = max(self.blocked_until, until)

    def record_load(self, load: Load, sampled_at: float, now: float) -> None:
        """Records a load report.

        Args:
            load: The report. One that was sampled before the last one does
                not replace it; it only shows that the server responds, and
                whether it reports its load and is slow.
            sampled_at: When the probe was sent, in monotonic seconds.
            now: Monotonic seconds.
        """
        self.failed_probes = 0
        self.consecutive_blocks = 0
        self.reports_load = load.reported
        if load.slowdown < SLOW_THRESHOLD:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = now
        if sampled_at < self.load_sampled_at:
            return
        self.load = load
        self.load_sampled_at = sampled_at
        self.released_since_report = 0
        self.warm_up.record_report(load.warm_up_s, now)

    def release(self, key: LeaseKey) -> Lease | None:
        """Releases a lease and returns it; None if it is not known."""
        lease = self.leases.pop(key, None)
        if lease is not None and lease.granted_at <= (
            self.load_sampled_at - IN_TRANSIT_S
        ):
            self.released_since_report += 1
        return lease

    def expire_leases(self, now: float) -> None:
        """Drops the leases whose requests have ended for certain."""
        for key, lease in list(self.leases.items()):
            if now > lease.expires_at:
                del self.leases[key]

    def decayed_failure_rate(self, now: float) -> float:
        """Returns the failure rate, decayed since the last result."""
        age = max(0.0, now - self.failure_rate_at)
        decay: float = 0.5 ** (age / FAILURE_HALF_LIFE_S)
        return self.failure_rate * decay

    def record_result(self, result: LeaseResult, now: float) -> bool:
        """Records how a lease ended.

        The server is blocked if it could not be reached, if another server
        responded at its address, or if it shed the request.

        Returns:
            Whether it was blocked for a reason other than shedding.
        """
        if result in (LeaseResult.CANCELLED, LeaseResult.UNUSED):
            return False
        score = FAILURE_SCORES.get(result, 0.0)
        rate = self.decayed_failure_rate(now)
        self.failure_rate = rate + FAILURE_SMOOTHING * (score - rate)
        self.failure_rate_at = now
        if result in (LeaseResult.UNREACHABLE, LeaseResult.WRONG_SERVER):
            self.block(now)
            return True
        if result is LeaseResult.SHED:
            self.blocked_until = max(self.blocked_until, now + SHED_BLOCK_S)
        return False

    def block(self, now: float) -> None:
        """Blocks the server, for twice as long each time in a row.

        Its last load report is discarded, so that a server that reports its
        load gets requests only after a new report.
        """
        pause_s = doubled(FIRST_BLOCK_S, self.consecutive_blocks, MAX_BLOCK_S)
        self.consecutive_blocks += 1
        self.blocked_until = now + pause_s
        self.load = None
        self.load_sampled_at = float('-inf')

    def record_probe_failure(self, now: float) -> bool:
        """Records that a load probe got no response.

        At a server that reports no load, probes wait for a slot, so that one
        without a response doesn't count while the server has leases.

        Returns:
            Whether the server was blocked.
        """
        if self.reports_load is False and self.leases:
            return False
        self.failed_probes += 1
        self.block(now)
        return True
