"""Slots of one backend server, as its scheduler knows them."""

from bisect import bisect_right
from collections.abc import Collection
from math import ceil

from cowslipmill.choice.health import Health
from cowslipmill.choice.health import HealthState
from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Report
from cowslipmill.hosts.noderecord import NodeRecord

LATENCY_WEIGHT = 0.2
EXTERNAL_MAX_AGE_S = 0.2
PROBATION_GRACE_S = 5.0


class SlotPool:
    """Slots of one incarnation of a server, with its load and health.

    Attributes:
        record: Record of the server.
        count: Number of its slots.
        in_flight: Leases granted and not yet released.
        held_until: When the slots held after failures become free, sorted
            monotonic seconds.
        latency_s: Moving average of recent latencies in seconds.
        external_in_flight: Requests in flight beyond the leases of this
            scheduler, by the last report.
        load_reported_at: When the server last reported its load, monotonic
            seconds.
        ramp_from: When the server began to ramp up, monotonic seconds.
        ramp_s: Length of the ramp-up in seconds.
        health: Failures and ejection of the server.
    """

    __slots__ = (
        'count',
        'external_in_flight',
        'health',
        'held_until',
        'in_flight',
        'latency_s',
        'load_reported_at',
        'ramp_from',
        'ramp_s',
        'record',
    )

    def __init__(
        self,
        record: NodeRecord,
        count: int,
        *,
        ramp_from: float,
        ramp_s: float,
    ) -> None:
        """Starts with every slot free."""
        self.record = record
        self.count = count
        self.in_flight = 0
        self.held_until: list[float] = []
        self.latency_s = 0.0
        self.external_in_flight = 0
        self.load_reported_at = 0.0
        self.ramp_from = ramp_from
        self.ramp_s = ramp_s
        self.health = Health()

    def allowed(self, now: float) -> int:
        """Returns how many slots may be used, by ramp-up and health."""
        count = self.count
        age_s = now - self.ramp_from
        if age_s < self.ramp_s:
            count = max(1, ceil(count * age_s / self.ramp_s))
        return self.health.allowed_slots(count, now)

    def occupied(self, now: float) -> int:
        """Returns the slots in use, external ones by the last report."""
        if self.held_until:
            self.held_until = self.held_until[
                bisect_right(self.held_until, now) :
            ]
        external = self.external_in_flight
        if now - self.load_reported_at > EXTERNAL_MAX_AGE_S:
            external = 0
        return self.in_flight + len(self.held_until) + external

    def has_room(self, now: float) -> bool:
        """Returns whether a lease may be granted."""
        return self.occupied(now) < self.allowed(now)

    def accepts(self, lease_request: EntryLeaseRequest, now: float) -> bool:
        """Returns whether a request may get a slot now.

        A server in probation gets only idempotent requests, until
        `PROBATION_GRACE_S` after the end of its ejection.
        """
        if not self.has_room(now):
            return False
        health = self.health
        if (
            lease_request.idempotent
            or health.state is not HealthState.PROBATION
        ):
            return True
        return now >= health.ejected_until + PROBATION_GRACE_S

    def rank(
        self, tried_domains: Collection[str], now: float
    ) -> tuple[bool, bool, float, float]:
        """Returns a sort key; the best server has the lowest.

        Args:
            tried_domains: Failure domains of the servers of earlier attempts.
            now: Current monotonic time in seconds.
        """
        return (
            self.health.failing,
            self.record.failure_domain in tried_domains,
            self.occupied(now) / self.count,
            self.latency_s,
        )

    def release(
        self, report: Report, granted_at: float, hold_s: float, now: float
    ) -> None:
        """Releases one lease and records its result.

        Args:
            report: How the lease was used.
            granted_at: When it was granted, monotonic seconds.
            hold_s: How long a failure holds the slot from its grant, in
                seconds.
            now: Current monotonic time in seconds.
        """
        if report.load is not None:
            self.external_in_flight = max(0, report.load - self.in_flight)
            self.load_reported_at = now
        self.in_flight -= 1
        if report.result is EntryLeaseResult.FAILED:
            self.health.record(True)
            self.hold_slot(granted_at + hold_s, now)
        if report.result is EntryLeaseResult.ANSWERED:
            self.health.record(False)
            difference = now - granted_at - self.latency_s
            self.latency_s += LATENCY_WEIGHT * difference

    def hold_slot(self, until: float, now: float) -> None:
        """Holds a slot, so that failing fast does not attract requests."""
        if until > now:
            self.held_until.append(until)
            self.held_until.sort()


class Lease:
    """Slot that an entry holds.

    Attributes:
        request: Lease request of the entry.
        slots: Slots of the server.
        granted_at: When the lease was granted, monotonic seconds.
    """

    __slots__ = ('granted_at', 'request', 'slots')

    def __init__(
        self, lease_request: EntryLeaseRequest, slots: SlotPool, now: float
    ) -> None:
        """Starts the lease now."""
        self.request = lease_request
        self.slots = slots
        self.granted_at = now
