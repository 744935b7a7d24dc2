"""The status that an agent serves at `GET /status`."""

from msgspec import Struct


class RefusedDocument(Struct, frozen=True, kw_only=True):
    """A published document that did not come into force.

    Attributes:
        digest: Hexadecimal digest of its raw bytes.
        reason: Every fault that was found, in one line.
        age_ms: How long ago it was last seen.
    """

    digest: str
    reason: str
    age_ms: int


class ConflictStatus(Struct, frozen=True, kw_only=True):
    """A published document that lost against another operator's.

    Attributes:
        version: Its version.
        digest: Hexadecimal digest of its content.
        lost_to_version: Version of the document that won.
        lost_to_digest: Digest of the document that won.
    """

    version: int
    digest: str
    lost_to_version: int
    lost_to_digest: str


class MemberStatus(Struct, frozen=True, kw_only=True):
    """One entry host as this agent sees it.

    Attributes:
        name: Name of the host.
        address: Peer address of its agent.
        failure_domain: Its failure domain.
        incarnation: Unix milliseconds of its agent's start.
        state: `live`, `suspect`, `leaving` or `gone`.
        age_ms: How long it has been in this state.
        entries: Names of its entries.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: int
    state: str
    age_ms: int
    entries: tuple[str, ...]


class ServerStatus(Struct, frozen=True, kw_only=True):
    """One backend server as this agent sees it.

    Attributes:
        name: Name of the server.
        service: Its service.
        address: Its address.
        incarnation: Incarnation that the report is about.
        state: `live`, `leaving` or `gone`.
        age_ms: How long it has been in this state.
        source: Where the state came from: `host list`, `server`, `peer`.
    """

    name: str
    service: str
    address: str
    incarnation: int
    state: str
    age_ms: int
    source: str


class PlatformStatus(Struct, frozen=True, kw_only=True):
    """How the platform answers this host.

    Attributes:
        watching: Whether this host is one of the watchers.
        up: Whether its last call succeeded; None before the first.
        calls: Calls made since the start.
    """

    watching: bool
    up: bool | None
    calls: int


class MeasuringStatus(Struct, frozen=True, kw_only=True):
    """What this agent measures.

    Attributes:
        servers: Backend servers that it is the one to measure.
        probes: Probes sent since the start.
        failures: Probes without a whole answer.
    """

    servers: int
    probes: int
    failures: int


class AgentStatus(Struct, frozen=True, kw_only=True):
    """The whole answer of `GET /status`.

    `version` 0 and an empty `digest` mean that nothing is in force.
    """

    host: str
    failure_domain: str
    incarnation: int
    version: int
    digest: str
    in_force_ms: int
    refused: tuple[RefusedDocument, ...]
    conflicts: tuple[ConflictStatus, ...]
    members: tuple[MemberStatus, ...]
    servers: tuple[ServerStatus, ...]
    platform: PlatformStatus
    measuring: MeasuringStatus
    last_word_age_ms: int
    bytes_sent_per_second: float
