"""Where an entry gets its leases: a home here, or one elsewhere."""

from asyncio import CancelledError
from collections.abc import Callable
from typing import Protocol

from cowslipmill.coordination.coordinator import HOLD_S
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

HOME_TIMEOUT_S = 0.05
AVOID_HOME_S = 0.5
UNUSED = Report(EntryLeaseResult.UNUSED)


class LeaseSource(Protocol):
    """Grants leases.

    Attributes:
        label: What metrics call it.
    """

    label: str

    async def acquire(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> LeaseReply | Unreachable:
        """Returns the lease, the refusal, or that the home is unreachable."""

    def release(
        self, service: str, lease_request: EntryLeaseRequest, report: Report
    ) -> None:
        """Gives a lease or a ticket back."""


class LocalSource:
    """Homes of this process.

    Attributes:
        lease_manager: The homes.
        label: What metrics call it.
    """

    __slots__ = ('lease_manager', 'label')

    def __init__(self, lease_manager: EntryLeaseManager, label: str) -> None:
        """Keeps the homes."""
        self.lease_manager = lease_manager
        self.label = label

    async def acquire(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> LeaseReply | Unreachable:
        """Returns the lease, or the refusal."""
        grantor = self.lease_manager
        decision = grantor.acquire(service, lease_request)
        if isinstance(decision, Queued):
            wait_s = lease_request.deadline_at - grantor.clock()
            try:
                decision = await grantor.wait(
                    service, lease_request.key, wait_s
                )
            except CancelledError:
                self.release(service, lease_request, UNUSED)
                raise
        return reply_to(decision)

    def release(
        self, service: str, lease_request: EntryLeaseRequest, report: Report
    ) -> None:
        """Gives a lease or a ticket back."""
        self.lease_manager.release(service, lease_request.key, report)


class RemoteSource:
    """Homes of another entry.

    Attributes:
        address: Where its peers reach it.
        avoided_until: Until when it counts as unreachable.
        label: What metrics call it.
    """

    __slots__ = ('address', 'avoided_until', 'clock', 'label', 'peering')

    def __init__(
        self, address: str, peering: Peering, clock: Callable[[], float]
    ) -> None:
        """Keeps the address and the links."""
        self.address = address
        self.peering = peering
        self.clock = clock
        self.avoided_until = 0.0
        self.label = 'remote'

    async def acquire(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> LeaseReply | Unreachable:
        """Returns the lease, the refusal, or that it is unreachable."""
        try:
            reply = await self.request_lease(service, lease_request)
        except CancelledError:
            self.release(service, lease_request, UNUSED)
            raise
        if isinstance(reply, Unreachable):
            self.avoided_until = self.clock() + AVOID_HOME_S
            if reply.sent:
                self.release(service, lease_request, UNUSED)
        return reply

    async def request_lease(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> LeaseReply | Unreachable:
        """Asks until the ticket is decided."""
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
        reply = await self.call(first, HOME_TIMEOUT_S)
        while isinstance(reply, LeaseQueued):
            again = AwaitLease(service, number)
            reply = await self.call(again, HOLD_S + HOME_TIMEOUT_S)
        return reply

    async def call(
        self, message: AcquireLease | AwaitLease, timeout_s: float
    ) -> LeaseReply | Unreachable:
        """Returns the reply to one message."""
        reply: LeaseReply | Unreachable = await self.peering.call(
            self.address, message, timeout_s
        )
        return reply

    def release(
        self, service: str, lease_request: EntryLeaseRequest, report: Report
    ) -> None:
        """Gives a lease or a ticket back; a lost message costs its time."""
        number = lease_request.key[1]
        message = ReleaseLease(service, number, report.result, report.load)
        self.peering.send(self.address, message)
