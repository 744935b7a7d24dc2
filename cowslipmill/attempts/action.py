"""What the exchange asks its driver to do next."""

from msgspec import Struct

from cowslipmill.choice.server import Server
from cowslipmill.outcomes.outcome import Outcome


class Choose(Struct, frozen=True):
    """Find a server that is none of those excluded.

    Attributes:
        excluded: Names of servers that were tried already.
        avoided_domains: Failure domains of those servers; another one is
            better but not required.
    """

    excluded: tuple[str, ...]
    avoided_domains: tuple[str, ...] = ()


class Confirm(Struct, frozen=True):
    """Ask a server whether it takes new work, as the view has expired."""

    server: Server


class Send(Struct, frozen=True):
    """Connect to a server and report `Connected` before the first byte.

    Attributes:
        server: The server.
        deadline_ms: Time left.
    """

    server: Server
    deadline_ms: int


class Write(Struct, frozen=True):
    """Write the request on the connection now.

    Attributes:
        deadline_ms: Time left, told to the server.
    """

    deadline_ms: int


class Finish(Struct, frozen=True):
    """Tell the caller its outcome."""

    outcome: Outcome


Action = Choose | Confirm | Send | Write | Finish
