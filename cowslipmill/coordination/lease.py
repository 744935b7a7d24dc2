"""Lease requests for slots of servers, decisions on them and reports."""

from enum import Enum

from msgspec import Struct

from cowslipmill.document.document import Priority
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.outcomes.outcome import Reason

EntryLeaseKey = tuple[str, int]


class EntryLeaseRequest(Struct, frozen=True, kw_only=True):
    """Request of an entry for a lease.

    Attributes:
        key: Name of the entry and its own number for the request.
        caller: Caller of the request, for fairness.
        priority: Priority of the route.
        idempotent: Whether the route is idempotent.
        deadline_at: When the caller stops waiting, monotonic seconds.
        excluded: Names of the servers of earlier attempts.
        may_wait: Whether the request may be queued.
    """

    key: EntryLeaseKey
    caller: str
    priority: Priority
    idempotent: bool
    deadline_at: float
    excluded: tuple[str, ...] = ()
    may_wait: bool = True


class Granted(Struct, frozen=True):
    """The request holds a slot of a server until it is released."""

    key: EntryLeaseKey
    server: NodeRecord


class Refused(Struct, frozen=True):
    """The request gets no slot.

    Attributes:
        key: Key of the request.
        reason: Why it gets none.
        retry_after_ms: Time until a slot is expected.
    """

    key: EntryLeaseKey
    reason: Reason
    retry_after_ms: int


class Queued(Struct, frozen=True):
    """The request waits for a slot."""

    key: EntryLeaseKey


Decision = Granted | Refused | Queued


class EntryLeaseResult(Enum):
    """How the use of a lease ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNUSED = 'unused'


class Report(Struct, frozen=True):
    """Report of an entry on a lease that it releases.

    Attributes:
        result: How the use ended.
        load: Requests in flight that the server reported, or None.
    """

    result: EntryLeaseResult
    load: int | None = None
