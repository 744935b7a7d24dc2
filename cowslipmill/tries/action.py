"""What the exchange asks its driver to do next."""

from msgspec import Struct

from cowslipmill.choice.server import Server
from cowslipmill.outcomes.outcome import Outcome


class Choose(Struct, frozen=True):
    """Find a server that is none of those excluded.

    Attributes:
        excluded: Names of servers that were tried already.
    """

    excluded: tuple[str, ...]


class Send(Struct, frozen=True):
    """Send the request to a server.

    Attributes:
        server: The server.
        deadline_ms: Time left, told to the server.
    """

    server: Server
    deadline_ms: int


class Finish(Struct, frozen=True):
    """Tell the caller its outcome."""

    outcome: Outcome


Action = Choose | Send | Finish
