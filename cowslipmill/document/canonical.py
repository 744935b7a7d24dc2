"""Canonical form of a document: equal content gives equal bytes."""

from msgspec import json
from msgspec.structs import replace

from cowslipmill.document.document import Document


def canonicalize(document: Document) -> Document:
    """Returns the document with its lists sorted by name."""
    return replace(
        document,
        teams=tuple(sorted(document.teams, key=lambda item: item.name)),
        services=tuple(sorted(document.services, key=lambda item: item.name)),
        routes=tuple(sorted(document.routes, key=lambda item: item.name)),
    )


def encode_canonical(document: Document) -> bytes:
    """Returns the JSON text of a canonical document."""
    return json.encode(document)
