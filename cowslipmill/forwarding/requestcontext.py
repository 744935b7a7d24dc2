"""The state of one request in progress."""

from cowslipmill.forwarding.attempts import Attempts
from cowslipmill.forwarding.fingerprints import Fingerprints
from cowslipmill.http1.message import Request
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.view.configuration import Route


class OutgoingRequest:
    """What is needed of a request to send it to a server.

    Attributes:
        request: The request as the caller sent it.
        request_id: The request's id, empty if it has none.
        deadline_at: When the caller stops waiting for the response, in
            monotonic seconds.
    """

    __slots__ = ('deadline_at', 'request', 'request_id')

    def __init__(
        self, request: Request, request_id: str, deadline_at: float
    ) -> None:
        """Stores the values."""
        self.request = request
        self.request_id = request_id
        self.deadline_at = deadline_at


class RequestContext(OutgoingRequest):
    """One request from its arrival to its response.

    All times are monotonic seconds.

    Attributes:
        route: The request's route at its arrival.
        service: Name of the service that handles the request.
        fingerprints: Hashes of the request, the same on every host.
        attempts: The attempts made so far.
        arrived_at: When the request arrived at this host.
        first_sent_at: When the caller first sent the request to any host,
            as estimated from the caller's remaining time.
        caller_left: Whether the caller has disconnected.
        trial_sends: Number of sends before it became a trial of a suspect
            request, which may be sent once more; None if it is none.
        refusal: The last refusal of a slot by a coordinator; None if there
            was none.
    """

    __slots__ = (
        'arrived_at',
        'attempts',
        'caller_left',
        'fingerprints',
        'first_sent_at',
        'refusal',
        'route',
        'service',
        'trial_sends',
    )

    def __init__(
        self,
        request: Request,
        request_id: str,
        route: Route,
        service: str,
        fingerprints: Fingerprints,
        attempts: Attempts,
        arrived_at: float,
    ) -> None:
        """Creates the context; the forwarder sets its deadline afterwards."""
        super().__init__(request, request_id, arrived_at)
        self.route = route
        self.service = service
        self.fingerprints = fingerprints
        self.attempts = attempts
        self.arrived_at = arrived_at
        self.first_sent_at = arrived_at
        self.caller_left = False
        self.trial_sends: int | None = None
        self.refusal: Refusal | None = None
