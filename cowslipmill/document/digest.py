"""The digest that identifies the content of a document."""

from msgspec import json
from msgspec import MsgspecError
from xxhash import xxh3_128_hexdigest

from cowslipmill.document.canonical import canonicalize
from cowslipmill.document.canonical import encode_canonical
from cowslipmill.document.document import Document


def document_digest(raw: bytes) -> str:
    """Returns the digest of a published document's content.

    Whitespace, the order of keys and the order of teams, services and
    routes do not change the digest. Text that does not decode into a
    document gets the digest of its bytes.
    """
    try:
        document = json.decode(raw, type=Document)
    except (MsgspecError, UnicodeDecodeError):
        return xxh3_128_hexdigest(raw)
    return xxh3_128_hexdigest(encode_canonical(canonicalize(document)))
