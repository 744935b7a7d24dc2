"""The configuration that routes requests."""

from msgspec import Struct


class RouteTarget(Struct, frozen=True, array_like=True):
    """A service's part of a route's requests.

    Attributes:
        service: The service's name.
        weight: Its weight among the parts.
    """

    service: str
    weight: float


class Route(Struct, frozen=True, array_like=True):
    """Ties requests to the service that answers them.

    Attributes:
        name: The route's name.
        host: Host that requests name, in lower case.
        prefix: Start of their path.
        idempotent: Whether requests may run more than once.
        timeout_s: Longest wait that the operator allows, 0 for none.
        objective_s: Latency within which an answer has its full value.
        max_attempts: Most servers that a request may be sent to.
        priority: Rank, 0 the most urgent.
        targets: The services that share the requests.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    targets: tuple[RouteTarget, ...]


class Service(Struct, frozen=True, array_like=True):
    """A group of servers that answer alike.

    Attributes:
        name: The service's name.
        health_path: Path that answers with health and load.
        max_connections: Connections that a server accepts in all.
    """

    name: str
    health_path: str
    max_connections: int


class Limits(Struct, frozen=True, array_like=True):
    """Bounds of what callers may send.

    Attributes:
        header_bytes: Bound of a request's head.
        body_bytes: Bound of a request's body.
        header_s: Longest that a head may take.
        idle_s: Longest that a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class Configuration(Struct, frozen=True, array_like=True):
    """One version of the whole configuration.

    Attributes:
        version: Grows with each change.
        routes: Every route.
        services: Every service.
        limits: Bounds of what callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
