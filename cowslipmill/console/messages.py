"""What the administration API takes and gives."""

from typing import Any

from msgspec import Struct

from cowslipmill.agent.status import AgentStatus
from cowslipmill.console.proposal import Notice
from cowslipmill.document.difference import Difference
from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.document import Service


class TeamSections(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """All services and routes of one team."""

    services: tuple[Service, ...]
    routes: tuple[Route, ...]


class Accepted(Struct, frozen=True, kw_only=True):
    """A next version that is ready to publish.

    Attributes:
        version: Its version.
        digest: Digest of its content.
        difference: What it changes.
        confirmed: Dangers that were confirmed.
        document: What to publish.
    """

    version: int
    digest: str
    difference: Difference
    confirmed: tuple[Notice, ...]
    document: Document


class Compared(Struct, frozen=True, kw_only=True):
    """What a document would change, and the dangers to confirm."""

    difference: Difference
    dangers: tuple[Notice, ...]


class Fault(Struct, frozen=True, kw_only=True):
    """One wrong field, by its JSON path."""

    path: str
    reason: str


class ProblemDetails(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An error in the form of RFC 9457.

    Attributes:
        status: HTTP status code.
        title: Short name of the error.
        detail: One sentence about this case.
        errors: Wrong fields.
        dangers: Dangers to confirm.
    """

    status: int
    title: str
    detail: str = ''
    errors: tuple[Fault, ...] = ()
    dangers: tuple[Notice, ...] = ()


class HostStatus(Struct, frozen=True, kw_only=True):
    """One agent's answer.

    Attributes:
        address: Administration address of the agent.
        status: What it said, or None.
        no_answer: Why there is none, or ''.
        standing: Where it stands with the version asked for, or ''.
    """

    address: str
    status: AgentStatus | None = None
    no_answer: str = ''
    standing: str = ''


class FleetStatus(Struct, frozen=True, kw_only=True):
    """Every agent's answer; `agree` if all have the same in force."""

    agree: bool
    hosts: tuple[HostStatus, ...]


class Faulty(Exception):
    """An API call that ends in problem details.

    Attributes:
        details: What the caller is told.
        headers: Headers of the answer.
    """

    def __init__(self, details: ProblemDetails, **headers: Any) -> None:
        """Keeps what the caller is told."""
        super().__init__(details.title)
        self.details = details
        self.headers: dict[str, str] = headers
