"""Messages and HMAC proofs of the mutual authentication by shared keys.

The server sends a nonce. The client replies with its name, its own nonce and
a proof, and the server replies with its proof. The client signs with the
first of its configured keys and the server with the key that the client
used; every configured key is accepted, so keys can be rotated without
downtime.
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
    """First message, from the server: its protocol version and nonce."""

    protocol: int
    nonce: Nonce


class ClientProof(Struct, frozen=True, tag='client-proof'):
    """Second message, from the client: its name, nonce and proof."""

    name: PeerName
    nonce: Nonce
    proof: Proof


class ServerProof(Struct, frozen=True, tag='server-proof'):
    """Third message, from the server: its proof."""

    proof: Proof


HandshakeMessage = Challenge | ClientProof | ServerProof


def compute_proof(
    key: str, role: str, name: str, peer_nonce: bytes, own_nonce: bytes
) -> bytes:
    """Returns the HMAC by which one side proves that it knows a key.

    Args:
        key: The shared key.
        role: Side that makes the proof, `client` or `server`.
        name: The client's name.
        peer_nonce: Nonce of the other side.
        own_nonce: Nonce of the side that makes the proof.
    """
    label = f'cowslipmill {role} {name}'.encode()
    return new_hmac(
        key.encode(), b'\0'.join((label, peer_nonce, own_nonce)), 'sha256'
    ).digest()


def find_key(
    keys: Sequence[str],
    proof: bytes,
    role: str,
    name: str,
    peer_nonce: bytes,
    own_nonce: bytes,
) -> str | None:
    """Returns the first of the keys that yields the proof, or None.

    Args:
        keys: Accepted keys.
        proof: The proof to check.
        role: Side that made the proof, `client` or `server`.
        name: The client's name.
        peer_nonce: Nonce of the side that checks the proof.
        own_nonce: Nonce of the side that made the proof.
    """
    for key in keys:
        if compare_digest(
            compute_proof(key, role, name, peer_nonce, own_nonce), proof
        ):
            return key
    return None
