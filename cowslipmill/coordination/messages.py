"""Messages between an entry and a home of a service."""

from msgspec import Struct

from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.document.document import Priority
from cowslipmill.outcomes.outcome import Reason


class AcquireLease(Struct, frozen=True, tag='acquire-lease', kw_only=True):
    """Asks a home for a lease; sent again, it holds no second slot."""

    service: str
    number: int
    caller: str
    priority: Priority
    idempotent: bool
    remaining_ms: int
    excluded: tuple[str, ...] = ()
    may_wait: bool = True


class AwaitLease(Struct, frozen=True, tag='await-lease'):
    """Asks again for a ticket that is queued; answered after a while."""

    service: str
    number: int


class LeaseGranted(Struct, frozen=True, tag='lease-granted'):
    """The sender of the ticket holds a slot of this server."""

    server: str


class LeaseQueued(Struct, frozen=True, tag='lease-queued'):
    """The ticket still waits."""


class LeaseRefused(Struct, frozen=True, tag='lease-refused'):
    """The ticket gets no slot."""

    reason: Reason
    retry_after_ms: int


class ReleaseLease(Struct, frozen=True, tag='release-lease'):
    """Gives a lease back, or gives a ticket up."""

    service: str
    number: int
    result: EntryLeaseResult
    load: int | None


LEASE_MESSAGES = (
    AcquireLease,
    AwaitLease,
    LeaseGranted,
    LeaseQueued,
    LeaseRefused,
    ReleaseLease,
)

LeaseReply = LeaseGranted | LeaseQueued | LeaseRefused
