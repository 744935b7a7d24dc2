"""The configuration: routes, services and limits."""

from msgspec import Struct


class RouteTarget(Struct, frozen=True, array_like=True):
    """A service that gets a share of a route's requests.

    Attributes:
        service: The service's name.
        weight: Weight relative to the route's other targets.
    """

    service: str
    weight: float


class Route(Struct, frozen=True, array_like=True):
    """Maps requests by host and path prefix to services.

    Attributes:
        name: The route's name.
        host: HTTP host that the requests name, in lower case.
        prefix: Path prefix.
        idempotent: Whether a request may be executed more than once.
        timeout_s: Longest time that a caller may wait, in seconds; 0 if the
            operator sets none.
        objective_s: Latency objective in seconds; a later response is worth
            less to the caller.
        max_attempts: Number of servers that a request may be sent to.
        priority: Priority, 0 is the most urgent.
        targets: The services that share the requests, by weight.
        bulk: Whether its requests or responses have large bodies.
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
    bulk: bool = False


class Service(Struct, frozen=True, array_like=True):
    """A group of interchangeable backend servers.

    Attributes:
        name: The service's name.
        health_path: Path of the request for a server's health and load.
        max_connections: Connections that one server accepts from all hosts
            together.
        warm_up_per_s: Requests a second that a cold server withstands; 0 if
            it needs no limit.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up_per_s: float = 0.0


class Limits(Struct, frozen=True, array_like=True):
    """Limits for callers' connections and requests.

    Attributes:
        header_bytes: Size limit of a request's head.
        body_bytes: Size limit of a request's body.
        header_s: Seconds within which a request's head must arrive.
        idle_s: Seconds for which a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class Configuration(Struct, frozen=True, array_like=True):
    """One version of the whole configuration.

    Attributes:
        version: Version number; increases with each change.
        routes: All routes.
        services: All services.
        limits: Limits for callers' connections and requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
