"""Checks of a document that cross its fields."""

from collections import Counter
from collections.abc import Iterator

from cowslipmill.document.decoder import decode
from cowslipmill.document.document import Document
from cowslipmill.document.document import MAX_DOCUMENT_BYTES
from cowslipmill.document.document import Route
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem


def decode_document(raw: bytes) -> Document:
    """Decodes and checks a document.

    Args:
        raw: The JSON text as the platform publishes it.

    Returns:
        The document, fit to come into force.

    Raises:
        InvalidDocument: With every fault that was found.
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
    """Yields every fault that one field shows only beside another."""
    yield from check_versions(document)
    yield from check_names(document)
    yield from check_references(document)
    yield from check_overlaps(document)


def check_versions(document: Document) -> Iterator[Problem]:
    """Yields a fault when the version does not follow its base."""
    if document.base >= document.version:
        reason = f'must be lower than version {document.version}'
        yield Problem('$.base', reason)


def check_names(document: Document) -> Iterator[Problem]:
    """Yields a fault for each name that stands twice in its list."""
    for label in ('teams', 'services', 'routes'):
        items = getattr(document, label)
        counts = Counter(item.name for item in items)
        for index, item in enumerate(items):
            if counts[item.name] > 1:
                place = f'$.{label}[{index}].name'
                yield Problem(place, f'{item.name!r} stands more than once')


def check_references(document: Document) -> Iterator[Problem]:
    """Yields a fault for each team or service that does not exist."""
    teams = {team.name for team in document.teams}
    services = {service.name: service for service in document.services}
    for index, service in enumerate(document.services):
        if service.team not in teams:
            place = f'$.services[{index}].team'
            yield Problem(place, f'no team is named {service.team!r}')
        if service.connections_per_server < service.slots_per_server:
            place = f'$.services[{index}].connections_per_server'
            reason = f'lower than slots_per_server {service.slots_per_server}'
            yield Problem(place, reason)
    for index, route in enumerate(document.routes):
        if route.team not in teams:
            place = f'$.routes[{index}].team'
            yield Problem(place, f'no team is named {route.team!r}')
        if route.service not in services:
            place = f'$.routes[{index}].service'
            yield Problem(place, f'no service is named {route.service!r}')


def check_overlaps(document: Document) -> Iterator[Problem]:
    """Yields a fault for each two routes that match equally well."""
    seen: dict[tuple[str, str, tuple[str, ...]], Route] = {}
    for index, route in enumerate(document.routes):
        for method in route.methods:
            key = (route.host, method, path_shape(route.path))
            other = seen.setdefault(key, route)
            if other is not route:
                reason = f'{method} overlaps route {other.name!r}'
                yield Problem(f'$.routes[{index}].path', reason)


def path_shape(path: str) -> tuple[str, ...]:
    """Returns the path's segments with parameter names left out."""
    return tuple(
        '{}' if segment.startswith('{') else segment
        for segment in path.split('/')[1:]
    )
