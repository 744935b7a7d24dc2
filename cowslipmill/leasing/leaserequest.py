"""Lease requests, the decisions on them and the reports on ended leases."""

from enum import IntEnum

from msgspec import Struct

from cowslipmill.leasing.ratelimits import LimitReport
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.runtime.names import LongName
from cowslipmill.runtime.names import Name

LeaseKey = tuple[Name, int]

# Reason of a refusal by a coordinator that reaches none of its servers;
# another host may.
NO_PATH = 'no path to servers'
# Reason for which nothing is granted at, or sent to, the servers of a failure
# domain; those of others may be used.
EVACUATED = 'failure domain evacuated'
# Reason of a refusal by a coordinator none of whose servers responds; those of
# other failure domains may.
OUT_OF_SERVICE = 'failure domain out of service'


class LeaseResult(IntEnum):
    """How a lease ended.

    Attributes:
        ANSWERED: The server executed the request, or rejected it as invalid.
        FAILED: The server handled the request and responded with a status
            other than 2xx.
        BROKEN: The request was sent and no complete response arrived by the
            deadline, or one that may not be from the server.
        UNREACHABLE: No connection could be used; nothing was sent.
        SHED: The server did not execute the request; another one may.
        WRONG_SERVER: The request reached another server than intended.
        CANCELLED: The request was cancelled before its response, since its
            caller disconnected or another attempt was used.
        UNUSED: The lease was not used, or the request was lost on a
            connection that the server had dropped while it was idle.
    """

    ANSWERED = 0
    FAILED = 1
    BROKEN = 2
    UNREACHABLE = 3
    SHED = 4
    WRONG_SERVER = 5
    CANCELLED = 6
    UNUSED = 7


class LeaseRequest:
    """A request for a lease at its coordinator.

    Attributes:
        key: Name of the requesting host and a number unique there.
        requirements: What the request requires of a server.
        arrived_at: When it arrived, in monotonic seconds of the coordinator.
        next_remote_attempt_at: When other failure domains may be asked next,
            in monotonic seconds.
        remote_attempt_pending: Whether other failure domains are being asked.
        admitted: Whether admission control let it stay in the queue, where
            each request is put until the first decision on it.
        admitted_late: Whether admission control let it stay in the queue
            although it will be late.
        left_out: Whether it was left out of those served in time.
        may_move: Whether another host may coordinate it if this one reaches
            none of the servers.
    """

    __slots__ = (
        'admitted',
        'admitted_late',
        'arrived_at',
        'key',
        'left_out',
        'may_move',
        'next_remote_attempt_at',
        'remote_attempt_pending',
        'requirements',
    )

    def __init__(
        self,
        key: LeaseKey,
        requirements: Requirements,
        arrived_at: float,
        *,
        may_move: bool = False,
    ) -> None:
        """Creates a request that is not yet admitted."""
        self.may_move = may_move
        self.key = key
        self.requirements = requirements
        self.arrived_at = arrived_at
        self.next_remote_attempt_at = 0.0
        self.remote_attempt_pending = False
        self.admitted = False
        self.admitted_late = False
        self.left_out = False


class Grant(Struct, frozen=True, array_like=True, tag='grant'):
    """A lease on one slot of a server.

    Attributes:
        key: Key of the lease request.
        server: The server's name.
        started_ms: Unix milliseconds of the server's start, which identifies
            its incarnation.
        failure_domain: Failure domain of the server, whose coordinator
            granted the lease.
        expected_duration_s: Expected duration of the request, in seconds.
        load_age_s: Age of the load report used; negative without one.
        slowdown: Slowdown in that report; 0.0 without one.
        coordinator: Address of the coordinator that granted it; an empty
            host for the coordinator of the same process.
        limit: What the coordinator knows of the server's rate limit.
    """

    key: LeaseKey
    server: Name
    started_ms: int
    failure_domain: Name
    expected_duration_s: float
    load_age_s: float
    slowdown: float
    coordinator: tuple[str, int] = ('', 0)
    limit: LimitReport | None = None


class Refusal(Struct, frozen=True, array_like=True, tag='refusal'):
    """A lease request is refused.

    Attributes:
        key: Key of the lease request.
        reason: Reason, such as `overloaded`.
        retry_after_s: Retry delay after which a slot is expected, in seconds.
        waiting: Number of requests queued at the coordinator.
        coordinator: Address of the coordinator that refused it; an empty
            host for the coordinator of the same process.
        work_s: Processing time that the request needs, in seconds; 0.0 if
            that wasn't weighed.
        room: Number of slots that serve the queue; 0.0 likewise.
    """

    key: LeaseKey
    reason: str
    retry_after_s: float
    waiting: int
    coordinator: tuple[str, int] = ('', 0)
    work_s: float = 0.0
    room: float = 0.0


class AskOtherDomains:
    """A request may be served better in other failure domains.

    Attributes:
        request: The lease request.
        max_duration_s: Longest expected duration of a server there that is
            accepted, in seconds.
    """

    __slots__ = ('max_duration_s', 'request')

    def __init__(self, request: LeaseRequest, max_duration_s: float) -> None:
        """Creates the decision for a request."""
        self.request = request
        self.max_duration_s = max_duration_s


Decision = Grant | Refusal | AskOtherDomains


class Report(Struct, frozen=True, array_like=True, tag='report'):
    """Reports to a coordinator how a lease ended.

    Attributes:
        key: Key of the lease request.
        service: The service's name.
        failure_domain: Failure domain whose coordinator granted the lease.
        server: The server's name.
        result: How it ended.
        duration_s: From the first byte sent to the whole response.
        started_ms: Unix milliseconds of the server's start.
        limit: What the reporting host knows of the server's rate limit.
    """

    key: LeaseKey
    service: LongName
    failure_domain: Name
    server: Name
    result: LeaseResult
    duration_s: float
    started_ms: int = 0
    limit: LimitReport | None = None
