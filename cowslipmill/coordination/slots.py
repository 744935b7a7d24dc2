"""The slots of one backend server, as its home knows them."""

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
FOREIGN_MAX_AGE_S = 0.2
TRIAL_GRACE_S = 5.0


class SlotPool:
    """Leases at one incarnation of a server, and what they tell of it.

    Attributes:
        record: The server.
        count: Its slots.
        in_flight: Leases granted and not yet released.
        held_until: Ends of the times that failures keep their slots.
        latency_s: Moving average of recent latencies.
        external_in_flight: Requests in flight beyond our leases, when last
            reported.
        load_reported_at: When they were reported, monotonic seconds.
        ramp_from: When the server began to ramp up, monotonic seconds.
        ramp_s: How long it ramps up.
        health: Its failures.
    """

    __slots__ = (
        'count',
        'record',
        'external_in_flight',
        'load_reported_at',
        'health',
        'held_until',
        'in_flight',
        'latency_s',
        'ramp_from',
        'ramp_s',
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
        """Returns how many slots may be used while it ramps up."""
        count = self.count
        age_s = now - self.ramp_from
        if age_s < self.ramp_s:
            count = max(1, ceil(count * age_s / self.ramp_s))
        return self.health.allowed_slots(count, now)

    def occupied(self, now: float) -> int:
        """Returns the slots in use, those of others by the last report."""
        if self.held_until:
            self.held_until = self.held_until[
                bisect_right(self.held_until, now) :
            ]
        foreign = self.external_in_flight
        if now - self.load_reported_at > FOREIGN_MAX_AGE_S:
            foreign = 0
        return self.in_flight + len(self.held_until) + foreign

    def has_room(self, now: float) -> bool:
        """Tells whether a lease may be granted."""
        return self.occupied(now) < self.allowed(now)

    def accepts(self, lease_request: EntryLeaseRequest, now: float) -> bool:
        """Tells whether a ticket may get a slot now.

        Only idempotent tickets try a server in probation, unless none has
        come for a while.
        """
        if not self.has_room(now):
            return False
        health = self.health
        if (
            lease_request.idempotent
            or health.state is not HealthState.PROBATION
        ):
            return True
        return now >= health.ejected_until + TRIAL_GRACE_S

    def rank(
        self, tried_domains: Collection[str], now: float
    ) -> tuple[bool, bool, float, float]:
        """Returns a key that is least for the best server.

        Args:
            tried_domains: Failure domains of servers that were tried.
            now: Monotonic seconds.
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
        """Takes back one lease.

        Args:
            report: How its use ended.
            granted_at: When it was granted.
            hold_s: How long a failure keeps the slot, from its grant.
            now: Monotonic seconds.
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
        """Keeps a slot, so that failing fast attracts no work."""
        if until > now:
            self.held_until.append(until)
            self.held_until.sort()


class Lease:
    """A slot that an entry holds.

    Attributes:
        request: What the entry asked for.
        slots: The server's slots.
        granted_at: Monotonic seconds.
    """

    __slots__ = ('granted_at', 'slots', 'request')

    def __init__(
        self, lease_request: EntryLeaseRequest, slots: SlotPool, now: float
    ) -> None:
        """Starts now."""
        self.request = lease_request
        self.slots = slots
        self.granted_at = now
