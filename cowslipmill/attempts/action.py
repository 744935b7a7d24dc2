"""Actions that the request state machine asks its driver to carry out."""

from msgspec import Struct

from cowslipmill.choice.server import Server
from cowslipmill.outcomes.outcome import Outcome


class Choose(Struct, frozen=True):
    """Choose a server that is not excluded.

    Attributes:
        excluded: Names of the servers of earlier attempts.
        avoided_domains: Failure domains of those servers; a server in another
            domain is preferred but not required.
    """

    excluded: tuple[str, ...]
    avoided_domains: tuple[str, ...] = ()


class Confirm(Struct, frozen=True):
    """Ask a server whether it accepts new requests, as the view is stale."""

    server: Server


class Send(Struct, frozen=True):
    """Connect to a server and report `Connected` before the first byte.

    Attributes:
        server: Server to connect to.
        deadline_ms: Milliseconds until the caller's deadline.
    """

    server: Server
    deadline_ms: int


class Write(Struct, frozen=True):
    """Write the request to the connection now.

    Attributes:
        deadline_ms: Milliseconds until the caller's deadline, sent to the
            server.
    """

    deadline_ms: int


class Finish(Struct, frozen=True):
    """Report the outcome to the caller."""

    outcome: Outcome


Action = Choose | Confirm | Send | Write | Finish
