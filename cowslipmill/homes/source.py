"""Where an entry gets its leases: a home here, or one elsewhere."""

from asyncio import CancelledError
from collections.abc import Callable
from typing import Protocol

from cowslipmill.entry.peering import Peering
from cowslipmill.homes.desk import HOLD_S
from cowslipmill.homes.desk import reply_to
from cowslipmill.homes.grantor import Grantor
from cowslipmill.homes.lease import Queued
from cowslipmill.homes.lease import Report
from cowslipmill.homes.lease import Result
from cowslipmill.homes.lease import Ticket
from cowslipmill.homes.messages import AcquireLease
from cowslipmill.homes.messages import AwaitLease
from cowslipmill.homes.messages import LeaseQueued
from cowslipmill.homes.messages import LeaseReply
from cowslipmill.homes.messages import ReleaseLease
from cowslipmill.peers.link import Unreachable

HOME_TIMEOUT_S = 0.05
AVOID_HOME_S = 0.5
UNUSED = Report(Result.UNUSED)


class Source(Protocol):
    """Grants leases.

    Attributes:
        label: What metrics call it.
    """

    label: str

    async def acquire(
        self, service: str, ticket: Ticket
    ) -> LeaseReply | Unreachable:
        """Returns the lease, the refusal, or that the home is unreachable."""

    def release(self, service: str, ticket: Ticket, report: Report) -> None:
        """Gives a lease or a ticket back."""


class LocalSource:
    """Homes of this process.

    Attributes:
        grantor: The homes.
        label: What metrics call it.
    """

    __slots__ = ('grantor', 'label')

    def __init__(self, grantor: Grantor, label: str) -> None:
        """Keeps the homes."""
        self.grantor = grantor
        self.label = label

    async def acquire(
        self, service: str, ticket: Ticket
    ) -> LeaseReply | Unreachable:
        """Returns the lease, or the refusal."""
        grantor = self.grantor
        decision = grantor.acquire(service, ticket)
        if isinstance(decision, Queued):
            wait_s = ticket.deadline_at - grantor.clock()
            try:
                decision = await grantor.wait(service, ticket.key, wait_s)
            except CancelledError:
                self.release(service, ticket, UNUSED)
                raise
        return reply_to(decision)

    def release(self, service: str, ticket: Ticket, report: Report) -> None:
        """Gives a lease or a ticket back."""
        self.grantor.release(service, ticket.key, report)


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
        self, service: str, ticket: Ticket
    ) -> LeaseReply | Unreachable:
        """Returns the lease, the refusal, or that it is unreachable."""
        try:
            reply = await self.ask(service, ticket)
        except CancelledError:
            self.release(service, ticket, UNUSED)
            raise
        if isinstance(reply, Unreachable):
            self.avoided_until = self.clock() + AVOID_HOME_S
            if reply.sent:
                self.release(service, ticket, UNUSED)
        return reply

    async def ask(
        self, service: str, ticket: Ticket
    ) -> LeaseReply | Unreachable:
        """Asks until the ticket is decided."""
        number = ticket.key[1]
        remaining_s = ticket.deadline_at - self.clock()
        first = AcquireLease(
            service=service,
            number=number,
            caller=ticket.caller,
            priority=ticket.priority,
            idempotent=ticket.idempotent,
            remaining_ms=max(0, int(remaining_s * 1000)),
            excluded=ticket.excluded,
            may_wait=ticket.may_wait,
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

    def release(self, service: str, ticket: Ticket, report: Report) -> None:
        """Gives a lease or a ticket back; a lost message costs its time."""
        number = ticket.key[1]
        message = ReleaseLease(service, number, report.result, report.load)
        self.peering.send(self.address, message)
