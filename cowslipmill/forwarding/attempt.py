"""One attempt to send a request."""

from cowslipmill.forwarding.requestcontext import RequestContext
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.view.server import ServerRecord


class Attempt:
    """One attempt to send a request to the server of a lease.

    Attributes:
        context: The request.
        grant: The lease.
        server: The server.
        sent_at: When the request was sent, in monotonic seconds; None if it
            was not.
        relayed: Whether it goes by way of another host.
    """

    __slots__ = ('context', 'grant', 'relayed', 'sent_at', 'server')

    def __init__(
        self, context: RequestContext, grant: Grant, server: ServerRecord
    ) -> None:
        """Starts with nothing sent."""
        self.context = context
        self.grant = grant
        self.server = server
        self.sent_at: float | None = None
        self.relayed = False

    def record_send(self, now: float) -> None:
        """Records that the request is about to be sent."""
        self.sent_at = now
        self.context.attempts.record_send(self.server.name)

    def withdraw_send(self) -> None:
        """Records that the request has not reached the server after all."""
        self.sent_at = None
        self.context.attempts.withdraw_send(self.server.name)
