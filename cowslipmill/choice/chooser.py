"""Interface of the data path to the choice of a server."""

from typing import Protocol

from msgspec import Struct

from cowslipmill.choice.server import Server
from cowslipmill.coordination.lease import Report
from cowslipmill.document.document import Route
from cowslipmill.outcomes.outcome import NotRun


class ChoiceRequest(Struct, frozen=True, kw_only=True):
    """Request of one attempt for a server.

    Attributes:
        route: Route of the request.
        caller: Name or address of the caller.
        deadline_at: When the caller stops waiting, monotonic seconds.
        excluded: Names of the servers of earlier attempts.
        may_wait: Whether the attempt may wait for a slot.
    """

    route: Route
    caller: str
    deadline_at: float
    excluded: tuple[str, ...] = ()
    may_wait: bool = True


class Choice(Protocol):
    """Server that was chosen for an attempt.

    Attributes:
        server: Server to send the request to.
    """

    server: Server

    def release(self, report: Report) -> None:
        """Releases the server and records how the attempt ended."""


class Chooser(Protocol):
    """Chooses a server for each attempt."""

    async def acquire(self, choice_request: ChoiceRequest) -> Choice | NotRun:
        """Returns the chosen server, or the reason why there is none."""

    def refresh(self, service: str) -> None:
        """Handles a change of the servers or coordinators of a service."""
