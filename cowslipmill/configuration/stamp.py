"""Version stamps, which order documents."""

from typing import Annotated

from msgspec import Meta
from msgspec import Struct
from xxhash import xxh3_128_digest

from cowslipmill.document.document import Document

DIGEST_BYTES = 16

Digest = Annotated[bytes, Meta(max_length=DIGEST_BYTES)]


class Stamp(Struct, frozen=True, array_like=True, order=True):
    """Orders documents: by version, then by the digest of their content.

    If two operators publish the same version, the digest decides, with the
    same result on every host.

    Attributes:
        version: Version of the document; 0 for none.
        digest: Digest of its canonical text; empty for none.
    """

    version: Annotated[int, Meta(ge=0)] = 0
    digest: Digest = b''


NO_DOCUMENT = Stamp()


def make_stamp(document: Document, raw: bytes) -> Stamp:
    """Returns the stamp of a canonical document from its canonical text."""
    return Stamp(document.version, xxh3_128_digest(raw))
