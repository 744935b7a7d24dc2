"""Sources of leases: schedulers of this entry or of another one."""

from asyncio import CancelledError
from collections.abc import Callable
from typing import Protocol

from cowslipmill.coordination.coordinator import LONG_POLL_S
from cowslipmill.coordination.coordinator import reply_to
from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Queued
from cowslipmill.coordination.lease import Report
from cowslipmill.coordination.leasemanager import EntryLeaseManager
from cowslipmill.coordination.messages import AcquireLease
from cowslipmill.coordination.messages import AwaitLease
from cowslipmill.coordination.messages import LeaseQueued
from cowslipmill.coordination.messages import LeaseReply
from cowslipmill.coordination.messages import ReleaseLease
from cowslipmill.entry.peering import Peering
from cowslipmill.peers.link import Unreachable

COORDINATOR_TIMEOUT_S = 0.05
COORDINATOR_BACKOFF_S = 0.5
UNUSED = Report(EntryLeaseResult.UNUSED)


class LeaseSource(Protocol):
    """Grants leases.

    Attributes:
        label: Value of the metric label `source`.
    """

    label: str

    async def acquire(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> LeaseReply | Unreachable:
        """Returns the decision, or that the coordinator is unreachable."""

    def release(
        self, service: str, lease_request: EntryLeaseRequest, report: Report
    ) -> None:
        """Releases a lease or withdraws a request."""


class LocalSource:
    """Leases from the schedulers of this process.

    Attributes:
        lease_manager: Lease manager of the schedulers.
        label: Value of the metric label `source`.
    """

    __slots__ = ('label', 'lease_manager')

    def __init__(self, lease_manager: EntryLeaseManager, label: str) -> None:
        """Keeps the lease manager."""
        self.lease_manager = lease_manager
        self.label = label

    async def acquire(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> LeaseReply | Unreachable:
        """Returns the decision, once a queued request is decided."""
        lease_manager = self.lease_manager
        decision = lease_manager.acquire(service, lease_request)
        if isinstance(decision, Queued):
            wait_s = lease_request.deadline_at - lease_manager.clock()
            try:
                decision = await lease_manager.wait(
                    service, lease_request.key, wait_s
                )
            except CancelledError:
                self.release(service, lease_request, UNUSED)
                raise
        return reply_to(decision)

    def release(
        self, service: str, lease_request: EntryLeaseRequest, report: Report
    ) -> None:
        """Releases a lease or withdraws a request."""
        self.lease_manager.release(service, lease_request.key, report)


class RemoteSource:
    """Leases from a coordinator in another entry.

    Attributes:
        address: Peer address of the entry.
        avoided_until: Until when it counts as unreachable, monotonic seconds.
        label: Value of the metric label `source`.
    """

    __slots__ = ('address', 'avoided_until', 'clock', 'label', 'peering')

    def __init__(
        self, address: str, peering: Peering, clock: Callable[[], float]
    ) -> None:
        """Keeps the address and the links to peers."""
        self.address = address
        self.peering = peering
        self.clock = clock
        self.avoided_until = 0.0
        self.label = 'remote'

    async def acquire(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> LeaseReply | Unreachable:
        """Returns the decision, or that the coordinator is unreachable."""
        try:
            reply = await self.request_lease(service, lease_request)
        except CancelledError:
            self.release(service, lease_request, UNUSED)
            raise
        if isinstance(reply, Unreachable):
            self.avoided_until = self.clock() + COORDINATOR_BACKOFF_S
            if reply.sent:
                self.release(service, lease_request, UNUSED)
        return reply

    async def request_lease(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> LeaseReply | Unreachable:
        """Requests a lease and polls until the request is decided."""
        number = lease_request.key[1]
        remaining_s = lease_request.deadline_at - self.clock()
        first = AcquireLease(
            service=service,
            number=number,
            caller=lease_request.caller,
            priority=lease_request.priority,
            idempotent=lease_request.idempotent,
            remaining_ms=max(0, int(remaining_s * 1000)),
            excluded=lease_request.excluded,
            may_wait=lease_request.may_wait,
        )
        reply = await self.call(first, COORDINATOR_TIMEOUT_S)
        while isinstance(reply, LeaseQueued):
            poll = AwaitLease(service, number)
            reply = await self.call(poll, LONG_POLL_S + COORDINATOR_TIMEOUT_S)
        return reply

    async def call(
        self, message: AcquireLease | AwaitLease, timeout_s: float
    ) -> LeaseReply | Unreachable:
        """Returns the reply to one message, or that there was none."""
        reply: LeaseReply | Unreachable = await self.peering.call(
            self.address, message, timeout_s
        )
        return reply

    def release(
        self, service: str, lease_request: EntryLeaseRequest, report: Report
    ) -> None:
        """Releases a lease or withdraws a request.

        If the message is lost, the coordinator holds the slot until the
        deadline of the request.
        """
        number = lease_request.key[1]
        message = ReleaseLease(service, number, report.result, report.load)
        self.peering.send(self.address, message)
