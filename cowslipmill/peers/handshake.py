"""Mutual authentication of two peers by shared keys.

The server sends a nonce; the client answers with its own nonce, its name and
a proof; the server answers with its proof. The first key of the settings
signs and all are accepted, so that keys rotate without a gap.
"""

from collections.abc import Sequence
from hmac import compare_digest
from hmac import new as new_hmac
from typing import Annotated

from msgspec import Meta
from msgspec import Struct

NONCE_BYTES = 16

Nonce = Annotated[bytes, Meta(min_length=NONCE_BYTES, max_length=NONCE_BYTES)]
Proof = Annotated[bytes, Meta(min_length=32, max_length=32)]
PeerName = Annotated[str, Meta(min_length=1, max_length=63)]


class Challenge(Struct, frozen=True, tag='challenge'):
    """The server's nonce and protocol version."""

    protocol: int
    nonce: Nonce


class ClientProof(Struct, frozen=True, tag='client-proof'):
    """The client's name, nonce and proof."""

    name: PeerName
    nonce: Nonce
    proof: Proof


class ServerProof(Struct, frozen=True, tag='server-proof'):
    """The server's proof."""

    proof: Proof


HandshakeMessage = Challenge | ClientProof | ServerProof


def prove(key: str, side: str, name: str, first: bytes, then: bytes) -> bytes:
    """Returns the proof that a side knows a key.

    Args:
        key: The shared key.
        side: `client` or `server`.
        name: The client's name.
        first: The other side's nonce.
        then: The side's own nonce.
    """
    label = f'cowslipmill {side} {name}'.encode()
    return new_hmac(
        key.encode(), b'\0'.join((label, first, then)), 'sha256'
    ).digest()


def find_key(
    keys: Sequence[str],
    proof: bytes,
    side: str,
    name: str,
    first: bytes,
    then: bytes,
) -> str | None:
    """Returns the accepted key that made a proof, or None."""
    for key in keys:
        if compare_digest(prove(key, side, name, first, then), proof):
            return key
    return None
