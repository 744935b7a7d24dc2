"""Callers and hosts that send without end, or more than they should."""

from asyncio import open_connection as open_stream
from asyncio import sleep
from collections.abc import Callable
from contextlib import closing
from contextlib import ExitStack
from typing import Any

from websockets.asyncio.client import connect

from cowslipmill.fleet.messages import AskLease
from cowslipmill.fleet.messages import AskSnapshot
from cowslipmill.fleet.messages import IdleLoss
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.messages import Members
from cowslipmill.fleet.messages import MESSAGES
from cowslipmill.fleet.messages import ServerLeaving
from cowslipmill.fleet.messages import Suspects
from cowslipmill.fleet.rpc import MAX_MESSAGE_BYTES
from cowslipmill.host.tests.conftest import DOMAINS
from cowslipmill.host.tests.conftest import HOST_HEADER
from cowslipmill.host.tests.measuredhost import KIBIBYTES
from cowslipmill.host.tests.measuredhost import WAIT_S
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.peers.batch import join_frames
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.peers.session import authenticate_to_server
from cowslipmill.standin.published import SERVICE
from cowslipmill.suspects.record import Summary

# Bytes that a caller sends before it gives up.
STREAM_BYTES = 8_000_000
# The key with which the hosts of the tests prove that they are hosts.
PROOF_KEY = 'default'
CALL_CODEC = make_frame_codec(MESSAGES, max_bytes=MAX_MESSAGE_BYTES)


REQUEST_HEAD = f'POST /long/1 HTTP/1.1\r\nhost: {HOST_HEADER}\r\n'.encode()
CALLER_STREAMS = {
    'header': (REQUEST_HEAD + b'x-long: ', b'y' * 65_536),
    'headers': (REQUEST_HEAD, b'ab:cd\r\n' * 8_192),
    'small chunks': (
        REQUEST_HEAD + b'transfer-encoding: chunked\r\n\r\n',
        b'2\r\nxx\r\n' * 8_192,
    ),
    'fields after the body': (
        REQUEST_HEAD + b'transfer-encoding: chunked\r\n\r\n0\r\n',
        b'ab:cd\r\n' * 8_192,
    ),
    'requests without reading': (b'', REQUEST_HEAD + b'\r\n'),
}


async def send_stream(
    address: tuple[str, int],
    head: bytes,
    block: bytes,
) -> None:
    """Sends bytes until the host closes, and reads nothing."""
    reader, writer = await open_stream(*address)
    sent = 0
    with closing(writer):
        writer.write(head)
        while sent < STREAM_BYTES:
            writer.write(block)
            await writer.drain()
            sent += len(block)
            await sleep(0)


async def ask_without_reading(address: tuple[str, int], name: str) -> None:
    """Asks for the view again and again and reads no reply."""
    host, port = address
    async with connect(f'ws://{host}:{port}', compression=None) as connection:
        await authenticate_to_server(connection, name, (PROOF_KEY,))
        connection.transport.pause_reading()
        for number in range(100):
            frames = [
                CALL_CODEC.encode(
                    Frame(FrameKind.CALL, 20 * number + n, AskSnapshot(0, 0))
                )
                for n in range(20)
            ]
            await connection.send(join_frames(frames))
            await sleep(0.01)
        await sleep(WAIT_S)


# The encoding of an empty list, of one byte, and of a list of them.
EMPTY_LIST = b'\x80'
LIST_BYTES = 4_100_000
LISTS = b'\x9a' + LIST_BYTES.to_bytes(4, 'big') + EMPTY_LIST * LIST_BYTES
# A frame of the WebSocket protocol from a client: the last of a binary
# message, with a length of 64 bits and an empty mask.
FRAME_HEAD = b'\x82\xff' + len(LISTS).to_bytes(8, 'big') + bytes(4)
FRAGMENT_HEAD = b'\x02\x80' + bytes(4)
FRAGMENT = b'\x00\x80' + bytes(4)
PING = b'\x89\xfd' + bytes(4) + b'x' * 125
LONG_LEASE = CALL_CODEC.encode(
    Frame(
        FrameKind.CALL,
        1,
        AskLease(
            ('host-1', 1),
            SERVICE,
            DOMAINS[0],
            'route',
            0,
            5.0,
            8.0,
            1.0,
            tuple(f'{n % 256:02x}' for n in range(300_000)),
            None,
        ),
    )
)
HOST_STREAMS = {
    'lists': (FRAME_HEAD + LISTS) * 4,
    'a message that goes on': FRAME_HEAD + LISTS[:-1],
    'fragments': FRAGMENT_HEAD + FRAGMENT * 300_000,
    'pings': PING * 200_000,
    'calls': b''.join(
        b'\x82\xff' + len(batch).to_bytes(8, 'big') + bytes(4) + batch
        for batch in [join_frames([LONG_LEASE])] * 8
    ),
}


async def send_unasked(
    address: tuple[str, int], name: str, data: bytes
) -> None:
    """Sends bytes as another host, reads nothing, and stays connected."""
    host, port = address
    async with connect(f'ws://{host}:{port}', compression=None) as connection:
        await authenticate_to_server(connection, name, (PROOF_KEY,))
        connection.transport.pause_reading()
        for at in range(0, len(data), KIBIBYTES * KIBIBYTES):
            connection.transport.write(data[at : at + KIBIBYTES * KIBIBYTES])
            await sleep(0.01)
        await sleep(WAIT_S)


def lease_request(name: str) -> AskLease:
    """Returns a lease request for a service and a route."""
    key = ('host-1', 1)
    return AskLease(key, name, name, name, 0, 0.1, 0.1, 1.0, (), None)


MADE_UP: dict[str, Callable[[str], Any]] = {
    'reports': lambda name: Report(
        (name, 1), name, name, name, LeaseResult.ANSWERED, 0.1, 1
    ),
    'lease requests': lease_request,
    'idle connections': lambda name: IdleLoss(name, 1.0),
    'leaving servers': lambda name: ServerLeaving(name, 1),
    'hosts': lambda name: Members(
        (Member(name, DOMAINS[0], ('127.0.0.1', 1), 1),)
    ),
    'crashes': lambda name: Suspects(
        (Summary(name.encode(), 0, ((name, 1, False),) * 2, 0, 0, 0.0),)
    ),
}
SENDING_S = 12.0
# Characters of a made-up name, and how many there are.
MADE_UP_SIZES = [(100_000, 2_500), (20, 60_000)]


async def send_made_up(
    address: tuple[str, int], kind: str, size: int, count: int
) -> None:
    """Sends messages that each name something else, as another host."""
    host, port = address
    async with connect(f'ws://{host}:{port}', compression=None) as connection:
        await authenticate_to_server(connection, 'host-1', (PROOF_KEY,))
        for start in range(0, count, 20):
            messages = [
                MADE_UP[kind](f'{n:08d}'.rjust(size, 'n'))
                for n in range(start, start + 20)
            ]
            frames = [
                CALL_CODEC.encode(Frame(FrameKind.NOTIFICATION, 0, message))
                for message in messages
            ]
            await connection.send(join_frames(frames))
            await sleep(0.002)


async def hold_connections(
    address: tuple[str, int], count: int, data: bytes
) -> None:
    """Opens connections, sends the same on each, and waits."""
    with ExitStack() as writers:
        for number in range(count):
            _, writer = await open_stream(*address)
            writers.enter_context(closing(writer))
            writer.write(data)
            if number % 50 == 0:
                await sleep(0.01)
        await sleep(WAIT_S)
