"""Tickets for a lease on a server's slot, and what becomes of them."""

from enum import Enum

from msgspec import Struct

from cowslipmill.document.document import Priority
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.outcomes.outcome import Reason

EntryLeaseKey = tuple[str, int]


class EntryLeaseRequest(Struct, frozen=True, kw_only=True):
    """One request of an entry for a lease.

    Attributes:
        key: Name of the entry and its own number for the ticket.
        caller: Who sent the request, for fairness.
        priority: Of the route.
        idempotent: Whether the route is idempotent.
        deadline_at: When the caller stops waiting, monotonic seconds.
        excluded: Names of servers that were tried already.
        may_wait: Whether the ticket may be queued.
    """

    key: EntryLeaseKey
    caller: str
    priority: Priority
    idempotent: bool
    deadline_at: float
    excluded: tuple[str, ...] = ()
    may_wait: bool = True


class Granted(Struct, frozen=True):
    """The ticket holds a slot of a server until it is released."""

    key: EntryLeaseKey
    server: NodeRecord


class Refused(Struct, frozen=True):
    """The ticket gets no slot."""

    key: EntryLeaseKey
    reason: Reason
    retry_after_ms: int


class Queued(Struct, frozen=True):
    """The ticket waits for a slot."""

    key: EntryLeaseKey


Decision = Granted | Refused | Queued


class EntryLeaseResult(Enum):
    """How the use of a lease ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNUSED = 'unused'


class Report(Struct, frozen=True):
    """What an entry tells of a lease that it gives back.

    Attributes:
        result: How the use ended.
        load: Requests in flight that the server reported, or None.
    """

    result: EntryLeaseResult
    load: int | None = None
