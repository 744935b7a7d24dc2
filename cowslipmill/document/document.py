"""Types of the configuration document.

Operators produce the document through the console; the platform publishes
it as JSON. Durations are integers of milliseconds, sizes are bytes.
"""

from enum import Enum
from typing import Annotated

from msgspec import Meta
from msgspec import Struct

Name = Annotated[str, Meta(pattern=r'^[a-z][a-z0-9-]{0,62}$')]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Method = Annotated[str, Meta(pattern=r'^[A-Z]{1,16}$')]
HostPattern = Annotated[str, Meta(pattern=r'^(\*|[a-z0-9.-]{1,253})$')]
PathPattern = Annotated[str, Meta(pattern=r'^/[A-Za-z0-9._~/{}*-]*$')]

MAX_DOCUMENT_BYTES = 1_000_000


class Priority(Enum):
    """Which requests are refused last when servers are full."""

    CRITICAL = 'critical'
    NORMAL = 'normal'
    BULK = 'bulk'


class Team(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A team of operators that owns services and routes."""

    name: Name


class Service(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A group of backend servers that answer the same requests.

    `slots_per_server` bounds requests in flight at one server and
    `connections_per_server` its open connections, both over all entries.
    `measuring_per_second` bounds measuring calls to one server, fleet-wide.
    """

    name: Name
    team: Name
    slots_per_server: Annotated[int, Meta(ge=1, le=10_000)]
    connections_per_server: Annotated[int, Meta(ge=1, le=100_000)] = 260
    measuring_per_second: Annotated[float, Meta(ge=0.0, le=1000.0)] = 1.0
    retry_share: Share = 0.1
    hedge_share: Share = 0.0
    ramp_ms: NonNegativeInt = 5_000
    max_ejected_share: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.34


class Route(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Ties one kind of request to the service that must answer it.

    In `path` a segment `{name}` matches one segment, a last segment `*`
    matches the rest. `idempotent` has no default: each route states it.
    """

    name: Name
    team: Name
    service: Name
    methods: Annotated[tuple[Method, ...], Meta(min_length=1)]
    path: PathPattern
    idempotent: bool
    host: HostPattern = '*'
    deadline_ms: Annotated[int, Meta(ge=1, le=600_000)] = 2_000
    priority: Priority = Priority.NORMAL
    max_request_bytes: Annotated[int, Meta(ge=0, le=16_777_216)] = 65_536
    max_answer_bytes: Annotated[int, Meta(ge=0, le=16_777_216)] = 1_048_576


class Document(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole configuration of a deployment.

    `version` only grows; `base` is the version that it was built from.
    """

    version: PositiveInt
    base: NonNegativeInt = 0
    deployment: Name
    teams: tuple[Team, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    resend_memory_ms: Annotated[int, Meta(ge=1_000, le=86_400_000)] = 600_000
