"""The digest that names the exact bytes of a document."""

from xxhash import xxh3_128_hexdigest


def document_digest(raw: bytes) -> str:
    """Returns the digest of a published document's bytes."""
    return xxh3_128_hexdigest(raw)
