"""Builders of configurations and server records for the view's tests."""

from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Limits
from cowslipmill.view.configuration import Route
from cowslipmill.view.configuration import RouteTarget
from cowslipmill.view.configuration import Service
from cowslipmill.view.server import ServerRecord

LIMITS = Limits(16_384, 1_048_576, 3.0, 15.0)


def make_route(
    prefix: str = '/a/',
    *,
    idempotent: bool = True,
    targets: tuple[RouteTarget, ...] = (RouteTarget('registry', 1.0),),
    max_attempts: int = 2,
    timeout_s: float = 2.0,
    objective_s: float = 0.6,
) -> Route:
    """Returns a route of the HTTP host `one.example`."""
    return Route(
        name=f'route{prefix}',
        host='one.example',
        prefix=prefix,
        idempotent=idempotent,
        timeout_s=timeout_s,
        objective_s=objective_s,
        max_attempts=max_attempts,
        priority=1,
        targets=targets,
    )


def make_configuration(version: int, *routes: Route) -> Configuration:
    """Returns a configuration of the service `registry` with the routes."""
    service = Service('registry', '/health', 260)
    return Configuration(
        version, routes or (make_route(),), (service,), LIMITS
    )


def make_record(
    number: int = 1, *, started_ms: int = 1, leaving: bool = False
) -> ServerRecord:
    """Returns the record of a server of the service `registry`."""
    return ServerRecord(
        name=f'server-{number}',
        started_ms=started_ms,
        service='registry',
        address=('127.0.0.1', 9000 + number),
        failure_domain='domain-a',
        slots=2,
        leaving=leaving,
        warm_up_s=0.0,
    )
