"""Decodes the configuration that the operator publishes."""

from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import JsonObject
from cowslipmill.platform.fields import read_integer
from cowslipmill.platform.fields import read_number
from cowslipmill.platform.fields import read_object
from cowslipmill.platform.fields import read_objects
from cowslipmill.platform.fields import read_string
from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Limits
from cowslipmill.view.configuration import Route
from cowslipmill.view.configuration import RouteTarget
from cowslipmill.view.configuration import Service

IDEMPOTENT_BY_KIND = {'safe': True, 'unsafe': False}
VERSION_BASE = 16


def decode_configuration(raw: bytes) -> Configuration:
    """Returns a configuration from the bytes that the store holds.

    Raises:
        InvalidField: If a field is missing or faulty.
    """
    table = read_object(raw, 'configuration')
    services = tuple(map(decode_service, read_objects(table, 'Services')))
    names = {service.name for service in services}
    routes = tuple(map(decode_route, read_objects(table, 'Routes')))
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


def decode_version(table: JsonObject) -> int:
    """Returns the version, written as hexadecimal digits."""
    text = read_string(table, 'Version')
    try:
        return int(text, VERSION_BASE)
    except ValueError as error:
        raise InvalidField('Version', f'{text!r} is not a version') from error


def decode_service(table: JsonObject) -> Service:
    """Returns one service."""
    return Service(
        name=read_string(table, 'Name'),
        health_path=read_string(table, 'HealthPath'),
        max_connections=read_integer(table, 'MaxConnections', minimum=1),
    )


def decode_route(table: JsonObject) -> Route:
    """Returns one route."""
    kind = read_string(table, 'Kind')
    if kind not in IDEMPOTENT_BY_KIND:
        raise InvalidField('Kind', f'{kind!r} is not known')
    prefix = read_string(table, 'Prefix')
    if not prefix.startswith('/') or not prefix.endswith('/'):
        raise InvalidField('Prefix', f'{prefix!r} needs slashes at both ends')
    return Route(
        name=read_string(table, 'Name'),
        host=read_string(table, 'Host').lower(),
        prefix=prefix,
        idempotent=IDEMPOTENT_BY_KIND[kind],
        timeout_s=read_number(table, 'TimeoutMs') / 1000,
        objective_s=read_number(table, 'TargetLatencyMs') / 1000,
        max_attempts=read_integer(table, 'MaxAttempts', minimum=1),
        priority=read_integer(table, 'Priority'),
        targets=decode_targets(table),
    )


def decode_targets(table: JsonObject) -> tuple[RouteTarget, ...]:
    """Returns the services of a route with their weights."""
    if 'TrafficSplit' not in table:
        return (RouteTarget(read_string(table, 'Service'), 1.0),)
    parts = tuple(
        RouteTarget(
            read_string(entry, 'Service'), read_number(entry, 'Weight')
        )
        for entry in read_objects(table, 'TrafficSplit')
    )
    if not any(part.weight for part in parts):
        raise InvalidField('TrafficSplit', 'has no weight')
    return parts


def decode_limits(table: JsonObject) -> Limits:
    """Returns the bounds of what callers may send."""
    return Limits(
        header_bytes=read_integer(table, 'MaxHeaderBytes', minimum=1),
        body_bytes=read_integer(table, 'MaxBodyBytes', minimum=1),
        header_s=read_number(table, 'HeaderTimeoutMs') / 1000,
        idle_s=read_number(table, 'IdleTimeoutMs') / 1000,
    )
