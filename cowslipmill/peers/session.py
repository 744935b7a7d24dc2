"""Runs the authentication handshake on a new connection."""

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
from cowslipmill.peers.handshake import compute_proof
from cowslipmill.peers.handshake import find_key
from cowslipmill.peers.handshake import HandshakeMessage
from cowslipmill.peers.handshake import NONCE_BYTES
from cowslipmill.peers.handshake import ServerProof

HANDSHAKE_TIMEOUT_S = 2.0
MAX_HANDSHAKE_BYTES = 512

HANDSHAKE_CODEC: Codec[HandshakeMessage] = Codec(
    HandshakeMessage, max_bytes=MAX_HANDSHAKE_BYTES
)


class HandshakeFailed(Exception):
    """The peer did not prove in time that it knows a shared key."""


async def receive_message(
    connection: Connection,
) -> HandshakeMessage | Malformed:
    """Returns the next handshake message, or `Malformed`."""
    raw: Any = await connection.recv(decode=False)
    return HANDSHAKE_CODEC.decode(raw)


async def authenticate_client(
    connection: Connection, keys: Sequence[str], max_bytes: int
) -> str:
    """Runs the server's side of the handshake.

    Args:
        connection: A connection on which nothing was sent yet, and which
            accepts no more than `MAX_HANDSHAKE_BYTES` at a time.
        keys: Accepted keys.
        max_bytes: Maximum size in bytes of the messages that follow; set
            before the client learns that it may send them.

    Returns:
        The name that the client authenticated itself with.

    Raises:
        HandshakeFailed: If the client's proof is wrong, malformed or late.
    """
    nonce = urandom(NONCE_BYTES)
    challenge = Challenge(PROTOCOL_VERSION, nonce)
    try:
        async with timeout(HANDSHAKE_TIMEOUT_S):
            await connection.send(HANDSHAKE_CODEC.encode(challenge))
            message = await receive_message(connection)
    except TimeoutError as error:
        raise HandshakeFailed('no proof in time') from error
    if not isinstance(message, ClientProof):
        raise HandshakeFailed('not a proof')
    key = find_key(
        keys, message.proof, 'client', message.name, nonce, message.nonce
    )
    if key is None:
        raise HandshakeFailed('unknown key')
    connection.protocol.max_message_size = max_bytes
    proof = compute_proof(key, 'server', message.name, message.nonce, nonce)
    await connection.send(HANDSHAKE_CODEC.encode(ServerProof(proof)))
    return message.name


async def authenticate_to_server(
    connection: Connection, name: str, keys: Sequence[str]
) -> None:
    """Runs the client's side of the handshake.

    Args:
        connection: A connection on which nothing was sent yet.
        name: Name of this process.
        keys: Accepted keys; the first one signs this side's proof.

    Raises:
        HandshakeFailed: If the server uses another protocol version, or its
            challenge or proof is wrong, malformed or late.
    """
    nonce = urandom(NONCE_BYTES)
    try:
        async with timeout(HANDSHAKE_TIMEOUT_S):
            message = await receive_message(connection)
            if not isinstance(message, Challenge):
                raise HandshakeFailed('not a challenge')
            if message.protocol != PROTOCOL_VERSION:
                raise HandshakeFailed(
                    f'unsupported protocol version {message.protocol}'
                )
            proof = compute_proof(
                keys[0], 'client', name, message.nonce, nonce
            )
            client_proof = ClientProof(name, nonce, proof)
            await connection.send(HANDSHAKE_CODEC.encode(client_proof))
            reply = await receive_message(connection)
    except TimeoutError as error:
        raise HandshakeFailed('no proof in time') from error
    if not isinstance(reply, ServerProof):
        raise HandshakeFailed('not a proof')
    if not find_key(keys, reply.proof, 'server', name, nonce, message.nonce):
        raise HandshakeFailed('unknown key')
