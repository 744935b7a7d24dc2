"""Answers the lease messages of other entries."""

from functools import singledispatch

from cowslipmill.coordination.lease import Decision
from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.coordination.lease import Granted
from cowslipmill.coordination.lease import Queued
from cowslipmill.coordination.lease import Refused
from cowslipmill.coordination.lease import Report
from cowslipmill.coordination.leasemanager import EntryLeaseManager
from cowslipmill.coordination.messages import AcquireLease
from cowslipmill.coordination.messages import AwaitLease
from cowslipmill.coordination.messages import LeaseGranted
from cowslipmill.coordination.messages import LeaseQueued
from cowslipmill.coordination.messages import LeaseRefused
from cowslipmill.coordination.messages import LeaseReply
from cowslipmill.coordination.messages import ReleaseLease
from cowslipmill.entry.peering import Peering

HOLD_S = 1.0


class EntryCoordinator:
    """Takes lease messages in and answers with the homes' decisions.

    Attributes:
        lease_manager: The homes of this process.
    """

    __slots__ = ('lease_manager',)

    def __init__(
        self, lease_manager: EntryLeaseManager, peering: Peering
    ) -> None:
        """Registers the messages."""
        self.lease_manager = lease_manager
        peering.register(AcquireLease, self.acquire)
        peering.register(AwaitLease, self.wait)
        peering.register(ReleaseLease, self.release)

    async def acquire(self, message: AcquireLease, peer: str) -> LeaseReply:
        """Decides on a ticket at once."""
        now = self.lease_manager.clock()
        lease_request = EntryLeaseRequest(
            key=(peer, message.number),
            caller=message.caller,
            priority=message.priority,
            idempotent=message.idempotent,
            deadline_at=now + message.remaining_ms / 1000,
            excluded=message.excluded,
            may_wait=message.may_wait,
        )
        return reply_to(
            self.lease_manager.acquire(message.service, lease_request)
        )

    async def wait(self, message: AwaitLease, peer: str) -> LeaseReply:
        """Answers when a queued ticket is decided, or after a while."""
        key = (peer, message.number)
        return reply_to(
            await self.lease_manager.wait(message.service, key, HOLD_S)
        )

    async def release(self, message: ReleaseLease, peer: str) -> None:
        """Takes a lease back."""
        report = Report(message.result, message.load)
        key = (peer, message.number)
        self.lease_manager.release(message.service, key, report)


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
