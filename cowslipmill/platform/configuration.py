"""Decodes the configuration that the operator publishes."""

from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import read_number
from cowslipmill.platform.fields import read_object
from cowslipmill.platform.fields import read_tables
from cowslipmill.platform.fields import read_text
from cowslipmill.platform.fields import read_whole
from cowslipmill.platform.fields import Table
from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Limits
from cowslipmill.view.configuration import Route
from cowslipmill.view.configuration import RouteTarget
from cowslipmill.view.configuration import Service

KINDS = {'safe': True, 'unsafe': False}
VERSION_BASE = 16


def decode_configuration(raw: bytes) -> Configuration:
    """Returns a configuration from the bytes that the store holds.

    Raises:
        InvalidField: If a field is missing or faulty.
    """
    table = read_object(raw, 'configuration')
    services = tuple(map(decode_service, read_tables(table, 'Services')))
    names = {service.name for service in services}
    routes = tuple(map(decode_route, read_tables(table, 'Routes')))
    for route in routes:
        for part in route.targets:
            if part.service not in names:
                reason = f'route {route.name}: no service {part.service}'
                raise InvalidField('Service', reason)
    limits = table.get('Limits')
    if not isinstance(limits, dict):
        raise InvalidField('Limits', 'not an object')
    return Configuration(
        decode_version(table), routes, services, decode_limits(limits)
    )


def decode_version(table: Table) -> int:
    """Returns the version, written as hexadecimal digits."""
    text = read_text(table, 'Version')
    try:
        return int(text, VERSION_BASE)
    except ValueError as error:
        raise InvalidField('Version', f'{text!r} is not a version') from error


def decode_service(table: Table) -> Service:
    """Returns one service."""
    return Service(
        name=read_text(table, 'Name'),
        health_path=read_text(table, 'HealthPath'),
        max_connections=read_whole(table, 'MaxConnections', least=1),
    )


def decode_route(table: Table) -> Route:
    """Returns one route."""
    kind = read_text(table, 'Kind')
    if kind not in KINDS:
        raise InvalidField('Kind', f'{kind!r} is not known')
    prefix = read_text(table, 'Prefix')
    if not prefix.startswith('/') or not prefix.endswith('/'):
        raise InvalidField('Prefix', f'{prefix!r} needs slashes at both ends')
    return Route(
        name=read_text(table, 'Name'),
        host=read_text(table, 'Host').lower(),
        prefix=prefix,
        idempotent=KINDS[kind],
        timeout_s=read_number(table, 'TimeoutMs') / 1000,
        objective_s=read_number(table, 'TargetLatencyMs') / 1000,
        max_attempts=read_whole(table, 'MaxAttempts', least=1),
        priority=read_whole(table, 'Priority'),
        targets=decode_parts(table),
    )


def decode_parts(table: Table) -> tuple[RouteTarget, ...]:
    """Returns the services of a route with their weights."""
    if 'TrafficSplit' not in table:
        return (RouteTarget(read_text(table, 'Service'), 1.0),)
    parts = tuple(
        RouteTarget(read_text(entry, 'Service'), read_number(entry, 'Weight'))
        for entry in read_tables(table, 'TrafficSplit')
    )
    if not any(part.weight for part in parts):
        raise InvalidField('TrafficSplit', 'has no weight')
    return parts


def decode_limits(table: Table) -> Limits:
    """Returns the bounds of what callers may send."""
    return Limits(
        header_bytes=read_whole(table, 'MaxHeaderBytes', least=1),
        body_bytes=read_whole(table, 'MaxBodyBytes', least=1),
        header_s=read_number(table, 'HeaderTimeoutMs') / 1000,
        idle_s=read_number(table, 'IdleTimeoutMs') / 1000,
    )
