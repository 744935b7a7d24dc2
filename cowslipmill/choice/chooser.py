"""What the data path asks of any way of choosing a server."""

from typing import Protocol

from msgspec import Struct

from cowslipmill.choice.server import Server
from cowslipmill.coordination.lease import Report
from cowslipmill.document.document import Route
from cowslipmill.outcomes.outcome import NotRun


class ChoiceRequest(Struct, frozen=True, kw_only=True):
    """One try that needs a server.

    Attributes:
        route: Its route.
        caller: Who sent the request.
        deadline_at: When the caller stops waiting, monotonic seconds.
        excluded: Names of servers that were tried already.
        may_wait: Whether it may wait for a slot.
    """

    route: Route
    caller: str
    deadline_at: float
    excluded: tuple[str, ...] = ()
    may_wait: bool = True


class Choice(Protocol):
    """A server that was chosen for a try.

    Attributes:
        server: The server.
    """

    server: Server

    def release(self, report: Report) -> None:
        """Takes in how the try ended."""


class Chooser(Protocol):
    """Finds a server for each try."""

    async def acquire(self, choice_request: ChoiceRequest) -> Choice | NotRun:
        """Returns a server, or why there is none."""

    def refresh(self, service: str) -> None:
        """Takes in that a service's servers or homes have changed."""
