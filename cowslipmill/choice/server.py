"""State of one backend server in this process."""

from cowslipmill.hosts.noderecord import NodeRecord


class Server:
    """One incarnation of a backend server and its requests in flight.

    Attributes:
        record: Name, address, failure domain and incarnation.
        in_flight: Requests sent by this process and not yet ended.
    """

    __slots__ = ('in_flight', 'record')

    def __init__(self, record: NodeRecord) -> None:
        """Starts with no request in flight."""
        self.record = record
        self.in_flight = 0

    @property
    def name(self) -> str:
        """Name of the server."""
        return self.record.name
