"""Answers the lease messages of other entries."""

from functools import singledispatch

from cowslipmill.entry.peering import Peering
from cowslipmill.homes.grantor import Grantor
from cowslipmill.homes.lease import Decision
from cowslipmill.homes.lease import Granted
from cowslipmill.homes.lease import Queued
from cowslipmill.homes.lease import Refused
from cowslipmill.homes.lease import Report
from cowslipmill.homes.lease import Ticket
from cowslipmill.homes.messages import AcquireLease
from cowslipmill.homes.messages import AwaitLease
from cowslipmill.homes.messages import LeaseGranted
from cowslipmill.homes.messages import LeaseQueued
from cowslipmill.homes.messages import LeaseRefused
from cowslipmill.homes.messages import LeaseReply
from cowslipmill.homes.messages import ReleaseLease

HOLD_S = 1.0


class Desk:
    """Takes lease messages in and answers with the homes' decisions.

    Attributes:
        grantor: The homes of this process.
    """

    __slots__ = ('grantor',)

    def __init__(self, grantor: Grantor, peering: Peering) -> None:
        """Registers the messages."""
        self.grantor = grantor
        peering.register(AcquireLease, self.acquire)
        peering.register(AwaitLease, self.wait)
        peering.register(ReleaseLease, self.release)

    async def acquire(self, message: AcquireLease, peer: str) -> LeaseReply:
        """Decides on a ticket at once."""
        now = self.grantor.clock()
        ticket = Ticket(
            key=(peer, message.number),
            caller=message.caller,
            priority=message.priority,
            idempotent=message.idempotent,
            deadline_at=now + message.remaining_ms / 1000,
            excluded=message.excluded,
            may_wait=message.may_wait,
        )
        return reply_to(self.grantor.acquire(message.service, ticket))

    async def wait(self, message: AwaitLease, peer: str) -> LeaseReply:
        """Answers when a queued ticket is decided, or after a while."""
        key = (peer, message.number)
        return reply_to(await self.grantor.wait(message.service, key, HOLD_S))

    async def release(self, message: ReleaseLease, peer: str) -> None:
        """Takes a lease back."""
        report = Report(message.result, message.load)
        key = (peer, message.number)
        self.grantor.release(message.service, key, report)


@singledispatch
def reply_to(decision: Decision) -> LeaseReply:
    """Returns a decision as a message."""
    raise TypeError(f'not a decision: {decision!r}')


@reply_to.register
def reply_granted(decision: Granted) -> LeaseReply:
    """Names the server."""
    return LeaseGranted(decision.server.name)


@reply_to.register
def reply_queued(decision: Queued) -> LeaseReply:
    """Says that the ticket waits."""
    return LeaseQueued()


@reply_to.register
def reply_refused(decision: Refused) -> LeaseReply:
    """Gives the reason and when to come back."""
    return LeaseRefused(decision.reason, decision.retry_after_ms)
