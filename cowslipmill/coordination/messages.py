"""Messages between an entry and a coordinator."""

from msgspec import Struct

from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.document.document import Priority
from cowslipmill.outcomes.outcome import Reason


class AcquireLease(Struct, frozen=True, tag='acquire-lease', kw_only=True):
    """Requests a lease; a repeated message takes no second slot."""

    service: str
    number: int
    caller: str
    priority: Priority
    idempotent: bool
    remaining_ms: int
    excluded: tuple[str, ...] = ()
    may_wait: bool = True


class AwaitLease(Struct, frozen=True, tag='await-lease'):
    """Waits for the decision on a queued request (long poll)."""

    service: str
    number: int


class LeaseGranted(Struct, frozen=True, tag='lease-granted'):
    """The sender of the request holds a slot of this server."""

    server: str


class LeaseQueued(Struct, frozen=True, tag='lease-queued'):
    """The request is still queued."""


class LeaseRefused(Struct, frozen=True, tag='lease-refused'):
    """The request gets no slot."""

    reason: Reason
    retry_after_ms: int


class ReleaseLease(Struct, frozen=True, tag='release-lease'):
    """Releases a lease or withdraws a queued request."""

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
