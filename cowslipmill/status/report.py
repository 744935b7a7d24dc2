"""What an agent tells of its host, as its readers understand it."""

from msgspec import Struct


class ServerReport(Struct, frozen=True, kw_only=True):
    """A backend server in one host's view.

    Attributes:
        name: Name of the server.
        service: Its service.
        state: Live, leaving or gone.
        age_ms: How long ago the host last heard of it; None if never.
    """

    name: str
    service: str = ''
    state: str = ''
    age_ms: int | None = None


class AgentReport(Struct, frozen=True, kw_only=True):
    """The answer of one agent; fields of newer agents are passed over.

    Attributes:
        host: Name of the host.
        failure_domain: Its failure domain.
        version: Version in force; 0 for none.
        digest: Digest of that document's bytes.
        servers: Backend servers that it knows.
        suspects: Fingerprints of requests held back.
    """

    host: str
    failure_domain: str = ''
    version: int = 0
    digest: str = ''
    servers: tuple[ServerReport, ...] = ()
    suspects: tuple[str, ...] = ()
