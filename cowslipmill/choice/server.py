"""What an entry knows of one backend server."""

from cowslipmill.hosts.fact import Fact


class Server:
    """One incarnation of a backend server and its requests in flight.

    Attributes:
        fact: Name, address, failure domain and incarnation.
        in_flight: Requests sent by this process and not yet ended.
    """

    __slots__ = ('fact', 'in_flight')

    def __init__(self, fact: Fact) -> None:
        """Starts with nothing in flight."""
        self.fact = fact
        self.in_flight = 0

    @property
    def name(self) -> str:
        """The server's name."""
        return self.fact.name
