"""Opens an authenticated session on a fresh connection."""

from asyncio import timeout
from collections.abc import Sequence
from os import urandom
from typing import Any

from websockets.asyncio.connection import Connection

from cowslipmill.peers.codec import Codec
from cowslipmill.peers.codec import Malformed
from cowslipmill.peers.codec import PROTOCOL_VERSION
from cowslipmill.peers.handshake import Challenge
from cowslipmill.peers.handshake import ClientProof
from cowslipmill.peers.handshake import find_key
from cowslipmill.peers.handshake import HandshakeMessage
from cowslipmill.peers.handshake import NONCE_BYTES
from cowslipmill.peers.handshake import prove
from cowslipmill.peers.handshake import ServerProof

HANDSHAKE_TIMEOUT_S = 2.0
MAX_HANDSHAKE_BYTES = 512

HANDSHAKE_CODEC: Codec[HandshakeMessage] = Codec(
    HandshakeMessage, max_bytes=MAX_HANDSHAKE_BYTES
)


class HandshakeFailed(Exception):
    """The other side did not prove that it knows a shared key."""


async def receive(connection: Connection) -> HandshakeMessage | Malformed:
    """Returns the next message of the handshake."""
    raw: Any = await connection.recv(decode=False)
    return HANDSHAKE_CODEC.decode(raw)


async def accept_peer(connection: Connection, keys: Sequence[str]) -> str:
    """Authenticates a client.

    Args:
        connection: A fresh connection.
        keys: Accepted keys.

    Returns:
        The client's name.

    Raises:
        HandshakeFailed: If its proof is wrong or late.
    """
    nonce = urandom(NONCE_BYTES)
    challenge = Challenge(PROTOCOL_VERSION, nonce)
    try:
        async with timeout(HANDSHAKE_TIMEOUT_S):
            await connection.send(HANDSHAKE_CODEC.encode(challenge))
            message = await receive(connection)
    except TimeoutError as error:
        raise HandshakeFailed('no proof in time') from error
    if not isinstance(message, ClientProof):
        raise HandshakeFailed('not a proof')
    key = find_key(
        keys, message.proof, 'client', message.name, nonce, message.nonce
    )
    if key is None:
        raise HandshakeFailed('unknown key')
    proof = prove(key, 'server', message.name, message.nonce, nonce)
    await connection.send(HANDSHAKE_CODEC.encode(ServerProof(proof)))
    return message.name


async def join_peer(
    connection: Connection, name: str, keys: Sequence[str]
) -> None:
    """Authenticates this side to a server, and the server to this side.

    Raises:
        HandshakeFailed: If the server's proof is wrong or late.
    """
    nonce = urandom(NONCE_BYTES)
    try:
        async with timeout(HANDSHAKE_TIMEOUT_S):
            message = await receive(connection)
            if not isinstance(message, Challenge):
                raise HandshakeFailed('not a challenge')
            if message.protocol != PROTOCOL_VERSION:
                raise HandshakeFailed(f'protocol {message.protocol}')
            proof = prove(keys[0], 'client', name, message.nonce, nonce)
            answer = ClientProof(name, nonce, proof)
            await connection.send(HANDSHAKE_CODEC.encode(answer))
            reply = await receive(connection)
    except TimeoutError as error:
        raise HandshakeFailed('no proof in time') from error
    if not isinstance(reply, ServerProof):
        raise HandshakeFailed('not a proof')
    if not find_key(keys, reply.proof, 'server', name, nonce, message.nonce):
        raise HandshakeFailed('unknown key')
