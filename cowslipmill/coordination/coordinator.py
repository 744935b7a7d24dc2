"""Handles the lease messages of other entries."""

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

LONG_POLL_S = 1.0


class EntryCoordinator:
    """Handles lease messages and replies with the schedulers' decisions.

    Attributes:
        lease_manager: Lease manager of this process.
    """

    __slots__ = ('lease_manager',)

    def __init__(
        self, lease_manager: EntryLeaseManager, peering: Peering
    ) -> None:
        """Registers the message handlers."""
        self.lease_manager = lease_manager
        peering.register(AcquireLease, self.on_acquire_lease)
        peering.register(AwaitLease, self.on_await_lease)
        peering.register(ReleaseLease, self.on_release_lease)

    async def on_acquire_lease(
        self, message: AcquireLease, peer: str
    ) -> LeaseReply:
        """Replies at once: granted, queued or refused."""
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

    async def on_await_lease(
        self, message: AwaitLease, peer: str
    ) -> LeaseReply:
        """Replies when a queued request is decided, or after `LONG_POLL_S`."""
        key = (peer, message.number)
        return reply_to(
            await self.lease_manager.wait(message.service, key, LONG_POLL_S)
        )

    async def on_release_lease(self, message: ReleaseLease, peer: str) -> None:
        """Releases a lease or withdraws a queued request."""
        report = Report(message.result, message.load)
        key = (peer, message.number)
        self.lease_manager.release(message.service, key, report)


@singledispatch
def reply_to(decision: Decision) -> LeaseReply:
    """Returns a decision as a message.

    Raises:
        TypeError: No message is registered for the type of the decision.
    """
    raise TypeError(f'unsupported decision: {decision!r}')


@reply_to.register
def reply_granted(decision: Granted) -> LeaseReply:
    """Returns the name of the server."""
    return LeaseGranted(decision.server.name)


@reply_to.register
def reply_queued(decision: Queued) -> LeaseReply:
    """Reports that the request is queued."""
    return LeaseQueued()


@reply_to.register
def reply_refused(decision: Refused) -> LeaseReply:
    """Returns the reason and the retry delay."""
    return LeaseRefused(decision.reason, decision.retry_after_ms)
