"""The canonical form of a document, and the stamp that orders documents."""

from hashlib import sha256
from typing import Annotated

from msgspec import json
from msgspec import Meta
from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.document.document import Document

DIGEST_BYTES = 16

Digest = Annotated[bytes, Meta(max_length=DIGEST_BYTES)]


class Stamp(Struct, frozen=True, array_like=True, order=True):
    """Orders documents: by version, then by the digest of their content.

    The digest decides between two operators who published one version, in
    the same way on every host.

    Attributes:
        version: Version of the document; 0 for none.
        digest: Digest of its canonical form; empty for none.
    """

    version: Annotated[int, Meta(ge=0)] = 0
    digest: Digest = b''


NOTHING = Stamp()


def canonicalize(document: Document) -> Document:
    """Returns a document with its lists sorted by name."""
    return replace(
        document,
        teams=tuple(sorted(document.teams, key=lambda item: item.name)),
        services=tuple(sorted(document.services, key=lambda item: item.name)),
        routes=tuple(sorted(document.routes, key=lambda item: item.name)),
    )


def encode_canonical(document: Document) -> bytes:
    """Returns the JSON text of a canonical document."""
    return json.encode(document)


def make_stamp(document: Document, raw: bytes) -> Stamp:
    """Returns the stamp of a canonical document and its text."""
    return Stamp(document.version, make_digest(raw))


def make_digest(raw: bytes) -> bytes:
    """Returns the digest of bytes."""
    return sha256(raw).digest()[:DIGEST_BYTES]
