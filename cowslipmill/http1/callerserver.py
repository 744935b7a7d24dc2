"""The listener to which callers connect."""

from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.listenerstate import ListenerState


class CallerServer(ListenerState):
    """The protocol factory of a listener.

    Attributes:
        connections: The open connections.
    """

    __slots__ = ()

    connections: set[CallerConnection]

    def __call__(self) -> CallerConnection:
        """Returns the protocol object of a new connection."""
        return CallerConnection(self)

    def enforce_timeouts(self, now: float) -> None:
        """Closes connections that exceeded a timeout.

        Args:
            now: Monotonic seconds.
        """
        for connection in list(self.connections):
            connection.enforce_timeouts(now)

    def close_idle(self) -> None:
        """Closes the connections that have no request."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def end(self) -> None:
        """Closes the connections that wait for no response, and takes no more.

        A request that the process reads from now on would be sent to a server
        and cut off when the process ends. One whose connection is closed
        instead counts as not read, also if a part of it has arrived.
        """
        for connection in list(self.connections):
            connection.parse_all()
        self.ended = True
        for connection in list(self.connections):
            if not connection.owes_answer:
                connection.close()

    @property
    def busy(self) -> bool:
        """Whether a request or a response is on its way on a connection."""
        return any(connection.busy for connection in self.connections)

    @property
    def owes_answers(self) -> bool:
        """Whether a request that was read whole waits for its response."""
        return any(connection.owes_answer for connection in self.connections)
