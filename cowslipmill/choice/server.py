"""What an entry knows of one backend server."""

from cowslipmill.hosts.noderecord import NodeRecord


class Server:
    """One incarnation of a backend server and its requests in flight.

    Attributes:
        record: Name, address, failure domain and incarnation.
        in_flight: Requests sent by this process and not yet ended.
    """

    __slots__ = ('record', 'in_flight')

    def __init__(self, record: NodeRecord) -> None:
        """Starts with nothing in flight."""
        self.record = record
        self.in_flight = 0

    @property
    def name(self) -> str:
        """The server's name."""
        return self.record.name
