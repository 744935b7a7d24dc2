"""Validation of a document beyond the types of single fields."""

from collections import Counter
from collections.abc import Iterator

from cowslipmill.document.decoder import decode
from cowslipmill.document.document import Document
from cowslipmill.document.document import MAX_DOCUMENT_BYTES
from cowslipmill.document.document import Route
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem


def decode_document(raw: bytes) -> Document:
    """Decodes and validates a document.

    Args:
        raw: The JSON text as the platform publishes it.

    Returns:
        The valid document.

    Raises:
        InvalidDocument: With every problem that was found.
    """
    if len(raw) > MAX_DOCUMENT_BYTES:
        reason = f'{len(raw)} bytes exceed {MAX_DOCUMENT_BYTES}'
        raise InvalidDocument((Problem('$', reason),))
    document = decode(raw, Document)
    problems = tuple(check_document(document))
    if problems:
        raise InvalidDocument(problems)
    return document


def check_document(document: Document) -> Iterator[Problem]:
    """Yields every problem that depends on more than one field."""
    yield from check_versions(document)
    yield from check_names(document)
    yield from check_references(document)
    yield from check_overlaps(document)


def check_versions(document: Document) -> Iterator[Problem]:
    """Yields a problem unless the version is greater than its base."""
    if document.base >= document.version:
        reason = f'must be lower than version {document.version}'
        yield Problem('$.base', reason)


def check_names(document: Document) -> Iterator[Problem]:
    """Yields a problem for each item whose name is not unique."""
    for section in ('teams', 'services', 'routes'):
        items = getattr(document, section)
        counts = Counter(item.name for item in items)
        for index, item in enumerate(items):
            if counts[item.name] > 1:
                path = f'$.{section}[{index}].name'
                yield Problem(path, f'{item.name!r} stands more than once')


def check_references(document: Document) -> Iterator[Problem]:
    """Yields a problem for each unknown team or service.

    Also yields one for each service with fewer connections than slots.
    """
    teams = {team.name for team in document.teams}
    services = {service.name: service for service in document.services}
    for index, service in enumerate(document.services):
        if service.team not in teams:
            path = f'$.services[{index}].team'
            yield Problem(path, f'no team is named {service.team!r}')
        if service.connections_per_server < service.slots_per_server:
            path = f'$.services[{index}].connections_per_server'
            reason = f'lower than slots_per_server {service.slots_per_server}'
            yield Problem(path, reason)
    for index, route in enumerate(document.routes):
        if route.team not in teams:
            path = f'$.routes[{index}].team'
            yield Problem(path, f'no team is named {route.team!r}')
        if route.service not in services:
            path = f'$.routes[{index}].service'
            yield Problem(path, f'no service is named {route.service!r}')


def check_overlaps(document: Document) -> Iterator[Problem]:
    """Yields a problem for each route that is as specific as another.

    Two routes of the same host, method and path, but for the names of path
    parameters, would match the same requests.
    """
    seen: dict[tuple[str, str, tuple[str, ...]], Route] = {}
    for index, route in enumerate(document.routes):
        for method in route.methods:
            key = (route.host, method, path_shape(route.path))
            other = seen.setdefault(key, route)
            if other is not route:
                reason = f'{method} overlaps route {other.name!r}'
                yield Problem(f'$.routes[{index}].path', reason)


def path_shape(path: str) -> tuple[str, ...]:
    """Returns the path's segments without the names of parameters."""
    return tuple(
        '{}' if segment.startswith('{') else segment
        for segment in path.split('/')[1:]
    )
