"""Decodes the configuration that the operator publishes."""

from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import JsonObject
from cowslipmill.platform.fields import MAX_INTEGER
from cowslipmill.platform.fields import quote
from cowslipmill.platform.fields import read_integer
from cowslipmill.platform.fields import read_number
from cowslipmill.platform.fields import read_object
from cowslipmill.platform.fields import read_objects
from cowslipmill.platform.fields import read_string
from cowslipmill.runtime.names import MAX_LONG_NAME_CHARACTERS
from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Limits
from cowslipmill.view.configuration import Route
from cowslipmill.view.configuration import RouteTarget
from cowslipmill.view.configuration import Service

IDEMPOTENT_BY_KIND = {
    'safe': True,
    'unsafe': False,
    'download': True,
    'upload': False,
}
# Kinds whose requests or responses have large bodies.
BULK_KINDS = frozenset(('download', 'upload'))
VERSION_BASE = 16


def decode_configuration(raw: bytes) -> Configuration:
    """Returns a configuration from its encoded form in the store.

    Raises:
        InvalidField: If a field is missing or invalid, or a route names a
            service that isn't in the configuration.
    """
    fields = read_object(raw, 'configuration')
    services = tuple(map(decode_service, read_objects(fields, 'Services')))
    names = {service.name for service in services}
    routes = tuple(map(decode_route, read_objects(fields, 'Routes')))
    for route in routes:
        for target in route.targets:
            if target.service not in names:
                reason = f'route {route.name}: no service {target.service}'
                raise InvalidField('Service', reason)
    limits = fields.get('Limits')
    if not isinstance(limits, dict):
        raise InvalidField('Limits', 'not an object')
    return Configuration(
        decode_version(fields), routes, services, decode_limits(limits)
    )


def decode_version(fields: JsonObject) -> int:
    """Returns the version, which is written in hexadecimal digits.

    Raises:
        InvalidField: If the field is missing, no hexadecimal number, negative
            or above `MAX_INTEGER`.
    """
    text = read_string(fields, 'Version')
    try:
        version = int(text, VERSION_BASE)
    except ValueError as error:
        raise InvalidField('Version', f'{text!r} is not a version') from error
    if not 0 <= version <= MAX_INTEGER:
        raise InvalidField('Version', f'{text!r} is out of range')
    return version


def decode_service(fields: JsonObject) -> Service:
    """Returns a service.

    Raises:
        InvalidField: If a field is missing or invalid.
    """
    return Service(
        name=read_name(fields),
        health_path=read_string(fields, 'HealthPath'),
        max_connections=read_integer(fields, 'MaxConnections', minimum=1),
        warm_up_per_s=read_number(fields, 'WarmupPerS'),
    )


def decode_route(fields: JsonObject) -> Route:
    """Returns a route.

    A kind that isn't known rejects the whole configuration, so that the last
    good one stays in force: whether such requests may be repeated, or need
    more than forwarding, can't be told.

    Raises:
        InvalidField: If a field is missing or invalid.
    """
    name = read_name(fields)
    kind = read_string(fields, 'Kind')
    if kind not in IDEMPOTENT_BY_KIND:
        reason = f'{quote(kind)} of route {quote(name)} is not known'
        raise InvalidField('Kind', reason)
    prefix = read_string(fields, 'Prefix')
    if not prefix.startswith('/') or not prefix.endswith('/'):
        raise InvalidField('Prefix', f'{prefix!r} needs slashes at both ends')
    return Route(
        name=name,
        host=read_string(fields, 'Host').lower(),
        prefix=prefix,
        idempotent=IDEMPOTENT_BY_KIND[kind],
        timeout_s=read_number(fields, 'TimeoutMs') / 1000,
        objective_s=read_number(fields, 'TargetLatencyMs') / 1000,
        max_attempts=read_integer(fields, 'MaxAttempts', minimum=1),
        priority=read_integer(fields, 'Priority'),
        targets=decode_targets(fields),
        bulk=kind in BULK_KINDS,
    )


def read_name(fields: JsonObject) -> str:
    """Returns the name of a service or a route.

    Raises:
        InvalidField: If the field is missing, empty or too long for messages
            between hosts.
    """
    return read_string(fields, 'Name', max_characters=MAX_LONG_NAME_CHARACTERS)


def decode_targets(fields: JsonObject) -> tuple[RouteTarget, ...]:
    """Returns the services of a route with their weights.

    Raises:
        InvalidField: If a field is missing or invalid, or no weight is
            above 0.
    """
    if 'TrafficSplit' not in fields:
        return (RouteTarget(read_string(fields, 'Service'), 1.0),)
    targets = tuple(
        RouteTarget(
            read_string(entry, 'Service'), read_number(entry, 'Weight')
        )
        for entry in read_objects(fields, 'TrafficSplit')
    )
    if not any(target.weight for target in targets):
        raise InvalidField('TrafficSplit', 'has no weight')
    return targets


def decode_limits(fields: JsonObject) -> Limits:
    """Returns the limits for requests of callers.

    Raises:
        InvalidField: If a field is missing or invalid.
    """
    return Limits(
        header_bytes=read_integer(fields, 'MaxHeaderBytes', minimum=1),
        body_bytes=read_integer(fields, 'MaxBodyBytes', minimum=1),
        header_s=read_number(fields, 'HeaderTimeoutMs') / 1000,
        idle_s=read_number(fields, 'IdleTimeoutMs') / 1000,
    )
