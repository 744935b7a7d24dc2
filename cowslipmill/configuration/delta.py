"""The changes from one document to the next, a section at a time."""

from collections.abc import Iterable
from typing import TypeVar

from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.configuration.stamp import make_stamp
from cowslipmill.configuration.stamp import Stamp
from cowslipmill.document.canonical import canonicalize
from cowslipmill.document.canonical import encode_canonical
from cowslipmill.document.document import Document
from cowslipmill.document.document import Name
from cowslipmill.document.document import Route
from cowslipmill.document.document import Service

T = TypeVar('T', Service, Route)

MAX_CHANGED_SHARE = 0.5


class DocumentDelta(
    Struct, frozen=True, tag='delta', array_like=True, kw_only=True
):
    """What a host needs to make the next document from its base.

    Attributes:
        base: Stamp of the document that it changes.
        stamp: Stamp of the result.
        header: The result without services and routes.
        services: New and changed services.
        routes: New and changed routes.
        removed_services: Names of services that are no more.
        removed_routes: Names of routes that are no more.
    """

    base: Stamp
    stamp: Stamp
    header: Document
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    removed_services: tuple[Name, ...]
    removed_routes: tuple[Name, ...]


def make_delta(
    base: Document, base_stamp: Stamp, document: Document, stamp: Stamp
) -> DocumentDelta | None:
    """Returns the changes, or None if the whole document is better."""
    services = changed_items(base.services, document.services)
    routes = changed_items(base.routes, document.routes)
    size = len(document.services) + len(document.routes)
    if len(services) + len(routes) > size * MAX_CHANGED_SHARE:
        return None
    return DocumentDelta(
        base=base_stamp,
        stamp=stamp,
        header=replace(document, services=(), routes=()),
        services=services,
        routes=routes,
        removed_services=removed_names(base.services, document.services),
        removed_routes=removed_names(base.routes, document.routes),
    )


def apply_delta(base: Document, delta: DocumentDelta) -> Document | None:
    """Returns the next document, or None if it is not the one meant."""
    document = canonicalize(
        replace(
            delta.header,
            services=merge_items(
                base.services, delta.services, delta.removed_services
            ),
            routes=merge_items(
                base.routes, delta.routes, delta.removed_routes
            ),
        )
    )
    stamp = make_stamp(document, encode_canonical(document))
    return document if stamp == delta.stamp else None


def changed_items(old: Iterable[T], new: Iterable[T]) -> tuple[T, ...]:
    """Returns the items that are new or differ."""
    known = {item.name: item for item in old}
    return tuple(item for item in new if known.get(item.name) != item)


def removed_names(old: Iterable[T], new: Iterable[T]) -> tuple[str, ...]:
    """Returns the names that are no more."""
    kept = {item.name for item in new}
    return tuple(item.name for item in old if item.name not in kept)


def merge_items(
    old: Iterable[T], changes: Iterable[T], removals: Iterable[str]
) -> tuple[T, ...]:
    """Returns the old items with the changes made."""
    items = {item.name: item for item in old}
    items.update({item.name: item for item in changes})
    for name in removals:
        items.pop(name, None)
    return tuple(items.values())
