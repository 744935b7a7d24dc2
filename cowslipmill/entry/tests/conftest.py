"""Fixtures: a listener on a free port and a caller that sends raw bytes."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest_asyncio

from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.document import Service
from cowslipmill.document.document import Team
from cowslipmill.entry.listener import Listener
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.hosts.member import Member
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import Outcome

TIMEOUT_S = 10.0
END = b'\r\n\r\n'
GET = b'GET /desks/7 HTTP/1.1\r\nHost: a\r\n'
POST = b'POST /desks/7 HTTP/1.1\r\nHost: a\r\n'
UNREPEATABLE = b'POST /orders HTTP/1.1\r\nHost: a\r\n'
PLAIN_RESPONSE = Answered(200, (('X-From', 'server'),), b'whole', 'desk-0')


class FakeRequestGuard:
    """Returns the same outcome for each request and records the requests.

    Attributes:
        outcome: The outcome to return, or an error to raise.
        requests: Requests received.
        may_respond: Requests wait until this is set.
        cancelled: Set when a request was cancelled.
    """

    def __init__(self) -> None:
        """Responds at once."""
        self.outcome: Outcome | Exception = PLAIN_RESPONSE
        self.requests: list[OutgoingRequest] = []
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.cancelled = asyncio.Event()

    def next_key(self) -> str:
        """Returns a key for the caller."""
        return 'next'

    async def dispatch(
        self, route: Route, request: OutgoingRequest, deadline_at: float
    ) -> Outcome:
        """Records one request and returns `outcome`."""
        self.requests.append(request)
        try:
            await self.may_respond.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


class Caller:
    """Opens raw connections to a listener."""

    def __init__(
        self, listener: Listener, request_guard: FakeRequestGuard
    ) -> None:
        """Sends requests to `listener`; connects in `open`."""
        self.listener = listener
        self.request_guard = request_guard

    async def open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to the listener."""
        host, port = self.listener.runner.addresses[0]
        return await asyncio.open_connection(host, port)

    async def send(self, request: bytes) -> bytes:
        """Sends bytes and returns all bytes received until the close."""
        reader, writer = await self.open()
        writer.write(request)
        async with asyncio.timeout(TIMEOUT_S):
            received = await reader.read()
        writer.close()
        return received


@pytest_asyncio.fixture
async def caller() -> AsyncIterator[Caller]:
    """Returns a caller of a listener with two routes."""
    routing_state = RoutingState(
        Member(
            name='entry-0',
            host='host-0',
            failure_domain='domain-a',
            incarnation=1,
            peer_address='127.0.0.1:1',
        )
    )
    routing_state.apply_document(
        Document(
            version=1,
            deployment='letters',
            teams=(Team(name='a'),),
            services=(Service(name='desk', team='a', slots_per_server=2),),
            routes=(
                Route(
                    name='see-desk',
                    team='a',
                    service='desk',
                    methods=('GET', 'HEAD', 'POST'),
                    path='/desks/{id}',
                    idempotent=True,
                    max_request_bytes=100,
                ),
                Route(
                    name='order',
                    team='a',
                    service='desk',
                    methods=('POST',),
                    path='/orders',
                    idempotent=False,
                ),
            ),
        )
    )
    request_guard = FakeRequestGuard()
    loop = asyncio.get_running_loop()
    fake: Any = request_guard
    listener = Listener('127.0.0.1:0', routing_state, fake, loop.time)
    await listener.start()
    yield Caller(listener, request_guard)
    await listener.stop()


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Returns the bytes up to the close; b'' if the connection is reset."""
    async with asyncio.timeout(TIMEOUT_S):
        try:
            return await reader.read()
        except ConnectionError:
            return b''


async def wait_for_requests(caller: Caller, count: int) -> None:
    """Waits until the request guard has received `count` requests."""
    async with asyncio.timeout(TIMEOUT_S):
        while len(caller.request_guard.requests) < count:
            await asyncio.sleep(0.01)
