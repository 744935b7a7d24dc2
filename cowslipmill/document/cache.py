"""Decodes successive versions of a document, one changed section at a time.

A document changes in a few sections at once. Sections whose bytes are known
keep their structs, so that a change costs an entry a few milliseconds even
at thousands of routes, and unchanged sections stay the same objects.
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
    """A document whose sections are still bytes."""

    version: int
    deployment: str
    teams: tuple[Team, ...]
    services: list[Raw]
    routes: list[Raw]
    base: int = 0
    resend_memory_ms: int = 600_000


class SectionCache(Generic[S]):
    """Structs of one kind by the bytes that they were decoded from.

    Attributes:
        sections: The sections of the last document.
        decoder: Decodes one section.
    """

    __slots__ = ('decoder', 'sections')

    def __init__(self, kind: type[S]) -> None:
        """Starts empty."""
        self.sections: dict[bytes, S] = {}
        self.decoder = json.Decoder(kind)

    def decode(self, raws: Iterable[Raw]) -> tuple[S, ...]:
        """Returns the structs of a document and forgets all others."""
        sections = {}
        for raw in raws:
            key = bytes(raw)
            known = self.sections.get(key)
            sections[key] = known or self.decoder.decode(key)
        self.sections = sections
        return tuple(sections.values())


class DocumentCache:
    """Decodes documents that another process has checked.

    Attributes:
        services: Services of the last document.
        routes: Routes of the last document.
    """

    __slots__ = ('routes', 'services')

    def __init__(self) -> None:
        """Starts empty."""
        self.services = SectionCache(Service)
        self.routes = SectionCache(Route)

    def decode(self, raw: bytes) -> Document:
        """Returns the document.

        Args:
            raw: JSON of a document that passed its checks.

        Raises:
            InvalidDocument: If it is no document after all.
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
