"""The state of one request under way."""

from cowslipmill.forwarding.attempts import Attempts
from cowslipmill.http1.message import Request
from cowslipmill.view.configuration import Route


class RequestContext:
    """One request from its arrival to its answer.

    Attributes:
        request: The request as it came.
        request_id: Its id, or nothing.
        route: Its route when it came.
        service: The service that gets it.
        fingerprint: Hash that the same request has at any host.
        attempts: What was tried.
        arrived_at: Monotonic seconds.
        first_sent_at: When its caller first asked, as far as is known.
        deadline_at: When it gets its answer at the latest.
        caller_left: Whether its caller has gone.
    """

    __slots__ = (
        'arrived_at',
        'attempts',
        'caller_left',
        'deadline_at',
        'fingerprint',
        'first_sent_at',
        'request',
        'request_id',
        'route',
        'service',
    )

    def __init__(
        self,
        request: Request,
        request_id: str,
        route: Route,
        service: str,
        fingerprint: bytes,
        attempts: Attempts,
        arrived_at: float,
    ) -> None:
        """Keeps the parts."""
        self.request = request
        self.request_id = request_id
        self.route = route
        self.service = service
        self.fingerprint = fingerprint
        self.attempts = attempts
        self.arrived_at = arrived_at
        self.first_sent_at = arrived_at
        self.deadline_at = arrived_at
        self.caller_left = False
