"""Decodes successive versions of a document incrementally.

Most new versions change only a few services and routes. Items whose bytes are
unchanged reuse the structs decoded before, so that a change costs an entry a
few milliseconds even at thousands of routes, and unchanged items stay the
same objects.
"""

from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

from msgspec import json
from msgspec import MsgspecError
from msgspec import Raw
from msgspec import Struct

from cowslipmill.document.decoder import decode
from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.document import Service
from cowslipmill.document.document import Team

S = TypeVar('S', bound=Struct)


class Outline(Struct, forbid_unknown_fields=True, kw_only=True):
    """A document whose services and routes are not decoded yet."""

    version: int
    deployment: str
    teams: tuple[Team, ...]
    services: list[Raw]
    routes: list[Raw]
    base: int = 0
    resend_memory_ms: int = 600_000


class ItemCache(Generic[S]):
    """Structs of one type by the JSON that they were decoded from.

    Attributes:
        items: Items of the last document by their JSON text.
        decoder: Decodes one item.
    """

    __slots__ = ('decoder', 'items')

    def __init__(self, item_type: type[S]) -> None:
        """Starts empty."""
        self.items: dict[bytes, S] = {}
        self.decoder = json.Decoder(item_type)

    def decode(self, raw_items: Iterable[Raw]) -> tuple[S, ...]:
        """Decodes the items of a document and evicts all others.

        Items with identical bytes become one: names are unique in a valid
        document.

        Raises:
            MsgspecError: If an item is invalid.
        """
        items = {}
        for raw in raw_items:
            key = bytes(raw)
            cached = self.items.get(key)
            items[key] = cached or self.decoder.decode(key)
        self.items = items
        return tuple(items.values())


class DocumentCache:
    """Decodes documents that another process has validated.

    Attributes:
        services: Cache of the services of the last document.
        routes: Cache of the routes of the last document.
    """

    __slots__ = ('routes', 'services')

    def __init__(self) -> None:
        """Starts empty."""
        self.services = ItemCache(Service)
        self.routes = ItemCache(Route)

    def decode(self, raw: bytes) -> Document:
        """Decodes a document without validating it across fields.

        Args:
            raw: JSON text of a document that was validated.

        Raises:
            InvalidDocument: If the JSON does not decode into a document.
        """
        try:
            outline = json.decode(raw, type=Outline)
            services = self.services.decode(outline.services)
            routes = self.routes.decode(outline.routes)
        except (MsgspecError, UnicodeDecodeError):
            return decode(raw, Document)
        return Document(
            version=outline.version,
            base=outline.base,
            deployment=outline.deployment,
            teams=outline.teams,
            services=services,
            routes=routes,
            resend_memory_ms=outline.resend_memory_ms,
        )
