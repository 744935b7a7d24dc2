"""Deltas between documents, by service and route."""

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

# Above this share of changed items the whole document is sent instead.
MAX_CHANGED_SHARE = 0.5


class DocumentDelta(
    Struct, frozen=True, tag='delta', array_like=True, kw_only=True
):
    """The changes that turn a base document into the next one.

    Attributes:
        base: Stamp of the document that it changes.
        stamp: Stamp of the resulting document.
        header: The resulting document without its services and routes.
        services: New and changed services.
        routes: New and changed routes.
        removed_services: Names of removed services.
        removed_routes: Names of removed routes.
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
    """Returns the delta, or None if more than half of the items changed."""
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
    """Returns the next document, or None if its stamp is not the delta's.

    The stamp differs if the delta was made for another base.
    """
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
    """Returns the items that are new or changed."""
    known = {item.name: item for item in old}
    return tuple(item for item in new if known.get(item.name) != item)


def removed_names(old: Iterable[T], new: Iterable[T]) -> tuple[str, ...]:
    """Returns the names of old items that are not among the new ones."""
    kept = {item.name for item in new}
    return tuple(item.name for item in old if item.name not in kept)


def merge_items(
    old: Iterable[T], changes: Iterable[T], removals: Iterable[str]
) -> tuple[T, ...]:
    """Returns the old items with changes and removals applied."""
    items = {item.name: item for item in old}
    items.update({item.name: item for item in changes})
    for name in removals:
        items.pop(name, None)
    return tuple(items.values())
