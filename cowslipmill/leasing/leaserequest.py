"""What a host asks of a home, and what it is told."""

from enum import IntEnum

from msgspec import Struct

from cowslipmill.leasing.requirements import Requirements

LeaseKey = tuple[str, int]


class LeaseResult(IntEnum):
    """How a lease ended."""

    ANSWERED = 0
    FAILED = 1
    BROKEN = 2
    UNREACHABLE = 3
    SHED = 4
    WRONG_SERVER = 5
    CANCELLED = 6
    UNUSED = 7


class LeaseRequest:
    """One request that needs a slot.

    Attributes:
        key: Name of the host and number of the ticket there.
        requirements: What the request needs.
        arrived_at: Monotonic seconds at the home.
        next_remote_attempt_at: When other failure domains may be asked next.
        remote_attempt_pending: Whether other failure domains are being asked.
        admitted: Whether it was admitted to wait for a slot.
        admitted_late: Whether it was admitted although it will be late.
    """

    __slots__ = (
        'admitted',
        'admitted_late',
        'arrived_at',
        'key',
        'next_remote_attempt_at',
        'remote_attempt_pending',
        'requirements',
    )

    def __init__(
        self, key: LeaseKey, requirements: Requirements, arrived_at: float
    ) -> None:
        """Keeps the parts."""
        self.key = key
        self.requirements = requirements
        self.arrived_at = arrived_at
        self.next_remote_attempt_at = 0.0
        self.remote_attempt_pending = False
        self.admitted = False
        self.admitted_late = False


class Grant(Struct, frozen=True, array_like=True, tag='grant'):
    """A slot at a server.

    Attributes:
        key: The ticket's key.
        server: The server's name.
        started_ms: The server's start, which tells its incarnation.
        failure_domain: Where the home is that granted it.
        expected_duration_s: How long the request is expected to take.
        load_age_s: Age of the load report that decided; negative for none.
        slowdown: Slowdown that the report told.
        coordinator: Address of the home that granted it.
    """

    key: LeaseKey
    server: str
    started_ms: int
    failure_domain: str
    expected_duration_s: float
    load_age_s: float
    slowdown: float
    coordinator: tuple[str, int] = ('', 0)


class Refusal(Struct, frozen=True, array_like=True, tag='refusal'):
    """No slot in time.

    Attributes:
        key: The ticket's key.
        reason: Such as `overloaded`.
        retry_after_s: When a slot is to be expected.
        waiting: Tickets that wait at the home.
    """

    key: LeaseKey
    reason: str
    retry_after_s: float
    waiting: int


class AskOtherDomains:
    """Other failure domains may serve a ticket better.

    Attributes:
        request: The ticket.
        max_duration_s: Finish that another domain has to beat.
    """

    __slots__ = ('max_duration_s', 'request')

    def __init__(self, request: LeaseRequest, max_duration_s: float) -> None:
        """Keeps the parts."""
        self.request = request
        self.max_duration_s = max_duration_s


Decision = Grant | Refusal | AskOtherDomains


class Report(Struct, frozen=True, array_like=True, tag='report'):
    """How a lease ended.

    Attributes:
        key: The ticket's key.
        service: The service's name.
        failure_domain: Domain of the home that granted the lease.
        server: The server's name.
        result: How it ended.
        duration_s: From the first byte sent to the whole answer.
    """

    key: LeaseKey
    service: str
    failure_domain: str
    server: str
    result: LeaseResult
    duration_s: float
