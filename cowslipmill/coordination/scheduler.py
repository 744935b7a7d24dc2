"""Scheduling of lease requests: each is granted, queued or refused.

The code here neither waits nor reads a clock: a driver passes in requests and
releases with the current time, and delivers the decisions to the entries.
"""

from collections.abc import Iterable
from math import ceil
from random import Random

from cowslipmill.choice.ejection import eject_if_failing
from cowslipmill.coordination.lease import Decision
from cowslipmill.coordination.lease import EntryLeaseKey
from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Granted
from cowslipmill.coordination.lease import Queued
from cowslipmill.coordination.lease import Refused
from cowslipmill.coordination.lease import Report
from cowslipmill.coordination.slots import Lease
from cowslipmill.coordination.slots import SlotPool
from cowslipmill.document.document import Service
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.limits.servicetime import ServiceTime
from cowslipmill.limits.waitqueue import WaitQueue
from cowslipmill.outcomes.outcome import Reason

MAX_WAITING = 4_096
# Share of the remaining time that the expected wait and service may take: the
# estimate may be wrong by half, and the response has to travel back.
WAIT_SHARE = 0.5
MIN_RETRY_AFTER_MS = 100
NO_SERVER_RETRY_AFTER_MS = 1_000


class EntryScheduler:
    """Grants leases on servers of one service.

    Attributes:
        service: Settings of the service in the document.
        servers: Slot pools by server name.
        leases: Leases by request key, also on servers that have left since.
        queue: Queued requests.
        service_time: Moving average of how long leases are held.
        max_leases: Most leases at once, or None if only the slots bound them.
    """

    __slots__ = (
        'leases',
        'max_leases',
        'queue',
        'servers',
        'service',
        'service_time',
    )

    def __init__(
        self, service: Service, *, max_leases: int | None = None
    ) -> None:
        """Starts without servers."""
        self.service = service
        self.max_leases = max_leases
        self.servers: dict[str, SlotPool] = {}
        self.leases: dict[EntryLeaseKey, Lease] = {}
        self.queue = WaitQueue()
        self.service_time = ServiceTime()

    def set_servers(
        self,
        service: Service,
        servers: Iterable[tuple[NodeRecord, float]],
        now: float,
        random: Random,
    ) -> list[Decision]:
        """Sets the servers and serves the queue.

        Args:
            service: Settings of the service in the current document.
            servers: Live servers, each with when it began to ramp up.
            now: Current monotonic time in seconds.
            random: Breaks ties.

        Returns:
            Decisions on queued requests.
        """
        self.service = service
        count = service.slots_per_server
        owned = {}
        for record, ramp_from in servers:
            slots = self.servers.get(record.name)
            if slots is None or slots.record.incarnation != record.incarnation:
                slots = SlotPool(
                    record,
                    count,
                    ramp_from=ramp_from,
                    ramp_s=service.ramp_ms / 1000,
                )
            slots.record = record
            slots.count = count
            owned[record.name] = slots
        self.servers = owned
        if owned:
            return self.grant_queued(now, random)
        return self.refuse_all()

    def refuse_all(self) -> list[Decision]:
        """Refuses all queued requests, as no server is left."""
        requests = list(self.queue.requests.values())
        self.queue = WaitQueue()
        return [
            Refused(lease_request.key, Reason.STALE_VIEW, 0)
            for lease_request in requests
        ]

    def acquire(
        self, lease_request: EntryLeaseRequest, now: float, random: Random
    ) -> list[Decision]:
        """Decides on a request; a repeated one gets its current state.

        Returns:
            Decision on the request first, then those on queued requests.
        """
        lease = self.leases.get(lease_request.key)
        if lease is not None:
            return [Granted(lease_request.key, lease.slots.record)]
        if lease_request.key in self.queue.requests:
            return [Queued(lease_request.key)]
        others = self.grant_queued(now, random)
        return [self.decide(lease_request, now, random), *others]

    def decide(
        self, lease_request: EntryLeaseRequest, now: float, random: Random
    ) -> Decision:
        """Grants, queues or refuses a new request."""
        if lease_request.deadline_at <= now:
            return self.refuse(lease_request, Reason.DEADLINE, now, random)
        if not self.servers:
            return Refused(lease_request.key, Reason.STALE_VIEW, 0)
        if all(name in lease_request.excluded for name in self.servers):
            return Refused(
                lease_request.key, Reason.NO_SERVER, NO_SERVER_RETRY_AFTER_MS
            )
        if self.may_grant_now(lease_request):
            slots = self.find_slots(lease_request, now, random)
            if slots is not None:
                return self.grant(lease_request, slots, now)
        if not lease_request.may_wait or not self.can_serve_in_time(
            lease_request, now
        ):
            return self.refuse(lease_request, Reason.OVERLOADED, now, random)
        self.queue.enqueue(lease_request)
        return Queued(lease_request.key)

    def may_grant_now(self, lease_request: EntryLeaseRequest) -> bool:
        """Returns whether a new request may get a slot at once.

        Queued requests that could use a free slot have been granted it by
        now. A request that may not wait gets one of the slots left only if
        the queue is empty.
        """
        return lease_request.may_wait or not self.queue

    def release(
        self, key: EntryLeaseKey, report: Report, now: float, random: Random
    ) -> list[Decision]:
        """Releases a lease or withdraws a queued request."""
        self.withdraw(key)
        lease = self.leases.pop(key, None)
        if lease is None:
            return []
        hold_s = self.service_time.mean_s
        lease.slots.release(report, lease.granted_at, hold_s, now)
        if report.result is EntryLeaseResult.ANSWERED:
            self.service_time.record(now - lease.granted_at)
        if report.result is EntryLeaseResult.FAILED:
            self.eject_if_failing(lease.slots, now)
        return self.grant_queued(now, random)

    def withdraw(self, key: EntryLeaseKey) -> None:
        """Removes a queued request that its entry has given up."""
        lease_request = self.queue.requests.get(key)
        if lease_request is not None:
            self.queue.remove(lease_request)

    def poll(self, now: float, random: Random) -> list[Decision]:
        """Ends expired leases and requests, and ejects failing servers."""
        for key, lease in list(self.leases.items()):
            if lease.request.deadline_at <= now:
                del self.leases[key]
                lease.slots.in_flight -= 1
        for slots in self.servers.values():
            if slots.health.failing:
                self.eject_if_failing(slots, now)
        decisions: list[Decision] = []
        for lease_request in list(self.queue.requests.values()):
            if not self.has_time(lease_request, now):
                self.queue.remove(lease_request)
                decisions.append(
                    self.refuse(lease_request, Reason.OVERLOADED, now, random)
                )
        return decisions + self.grant_queued(now, random)

    def grant_queued(self, now: float, random: Random) -> list[Decision]:
        """Grants free slots to queued requests in their order."""
        decisions: list[Decision] = []
        while self.queue:
            decision = self.decide_next(now, random)
            if decision is None:
                break
            decisions.append(decision)
        return decisions

    def decide_next(self, now: float, random: Random) -> Decision | None:
        """Decides on the first queued request that can be decided now."""
        if not self.has_room(now):
            return None
        for lease_request in self.queue:
            if not self.has_time(lease_request, now):
                self.queue.remove(lease_request)
                return self.refuse(
                    lease_request, Reason.OVERLOADED, now, random
                )
            slots = self.find_slots(lease_request, now, random)
            if slots is not None:
                self.queue.pop(lease_request)
                return self.grant(lease_request, slots, now)
        return None

    def has_room(self, now: float) -> bool:
        """Returns whether any slot is free."""
        if self.max_leases is not None:
            if len(self.leases) >= self.max_leases:
                return False
        return any(slots.has_room(now) for slots in self.servers.values())

    def find_slots(
        self, lease_request: EntryLeaseRequest, now: float, random: Random
    ) -> SlotPool | None:
        """Returns the best server with a slot for a request, or None."""
        if self.max_leases is not None:
            if len(self.leases) >= self.max_leases:
                return None
        tried_domains = {
            self.servers[name].record.failure_domain
            for name in lease_request.excluded
            if name in self.servers
        }
        best = None
        best_rank: tuple[object, ...] = ()
        for slots in self.servers.values():
            if slots.record.name in lease_request.excluded:
                continue
            if not slots.accepts(lease_request, now):
                continue
            rank = (*slots.rank(tried_domains, now), random.random())
            if best is None or rank < best_rank:
                best, best_rank = slots, rank
        return best

    def grant(
        self, lease_request: EntryLeaseRequest, slots: SlotPool, now: float
    ) -> Granted:
        """Grants a slot to a request."""
        slots.in_flight += 1
        self.leases[lease_request.key] = Lease(lease_request, slots, now)
        return Granted(lease_request.key, slots.record)

    def has_time(self, lease_request: EntryLeaseRequest, now: float) -> bool:
        """Returns whether a server can still respond before the deadline."""
        return now + self.service_time.typical_s < lease_request.deadline_at

    def can_serve_in_time(
        self, lease_request: EntryLeaseRequest, now: float
    ) -> bool:
        """Returns whether a slot is expected early enough for a request."""
        if len(self.queue) >= MAX_WAITING:
            return False
        wait_s = self.estimate_wait_s(lease_request, now)
        needed_s = wait_s + self.service_time.long_s
        return needed_s <= WAIT_SHARE * (lease_request.deadline_at - now)

    def estimate_wait_s(
        self, lease_request: EntryLeaseRequest, now: float
    ) -> float:
        """Returns how long a new request would wait for a slot."""
        usable = sum(slots.allowed(now) for slots in self.servers.values())
        if self.max_leases is not None:
            usable = min(usable, self.max_leases)
        turns = self.queue.count_ahead(lease_request) + 1
        return turns * self.service_time.mean_s / max(1, usable)

    def refuse(
        self,
        lease_request: EntryLeaseRequest,
        reason: Reason,
        now: float,
        random: Random,
    ) -> Refused:
        """Refuses a request, with the time until a slot is expected.

        The time is random within a range, so that refused callers do not all
        retry at once.
        """
        wait_s = self.estimate_wait_s(lease_request, now)
        wait_ms = ceil(wait_s * random.uniform(1.0, 1.5) * 1000)
        return Refused(
            lease_request.key, reason, max(MIN_RETRY_AFTER_MS, wait_ms)
        )

    def eject_if_failing(self, slots: SlotPool, now: float) -> None:
        """Ejects a server that fails more than its peers."""
        name = slots.record.name
        if self.servers.get(name) is not slots:
            return
        peers = [
            other.health
            for other in self.servers.values()
            if other is not slots
        ]
        max_ejected = int(self.service.max_ejected_share * len(self.servers))
        eject_if_failing(slots.health, peers, max_ejected, now)
