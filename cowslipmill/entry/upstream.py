"""Sends a request to one backend server and reads its whole answer."""

from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientRequest
from aiohttp import ClientResponse
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import ConnectionTimeoutError
from aiohttp import DummyCookieJar
from aiohttp import TCPConnector
from multidict import CIMultiDict
from yarl import URL

from cowslipmill.hosts.fact import Fact
from cowslipmill.outcomes.headers import DEADLINE_HEADER
from cowslipmill.outcomes.headers import HOP_BY_HOP
from cowslipmill.outcomes.headers import LEAVING_HEADER
from cowslipmill.outcomes.headers import NOT_STARTED_HEADER
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.tries.event import AnswerRead
from cowslipmill.tries.event import ConnectFailed
from cowslipmill.tries.event import Event
from cowslipmill.tries.event import ExchangeBroken
from cowslipmill.tries.event import ServerConfirmed
from cowslipmill.tries.event import ServerUnconfirmed
from cowslipmill.tries.event import Shed

CONNECT_TIMEOUT_S = 0.25
KEEP_ALIVE_S = 10.0
SHED_RETRY_AFTER_MS = 1_000
CONFIRM_TIMEOUT = ClientTimeout(total=CONNECT_TIMEOUT_S)
CONFIRM_PATH = '/healthz'
NO_TOTAL_TIMEOUT = ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


Permit = Callable[[], int]
PERMIT: ContextVar[Permit] = ContextVar('permit')


class FirstByteRefused(Exception):
    """A request whose first byte may not be written any more."""


class GuardedRequest(ClientRequest):
    """A request that asks for its permit right before the first byte."""

    async def send(self, conn: Any) -> ClientResponse:
        """Sets the time left and writes, unless the permit is refused."""
        permit = PERMIT.get(None)
        if permit is not None:
            self.headers[DEADLINE_HEADER] = str(permit())
        return await super().send(conn)


class OutgoingRequest:
    """A caller's request in the form that servers get.

    Attributes:
        method: Method.
        target: Raw path and query.
        headers: End-to-end headers.
        body: The whole body.
        max_answer_bytes: Bound of the answer's body.
    """

    __slots__ = ('body', 'headers', 'max_answer_bytes', 'method', 'target')

    def __init__(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
        max_answer_bytes: int,
    ) -> None:
        """Keeps the parts."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.max_answer_bytes = max_answer_bytes


class Upstream:
    """Connections to the backend servers."""

    __slots__ = ('session',)

    def __init__(self, session: ClientSession) -> None:
        """Keeps a session made by `open_session`."""
        self.session = session

    async def send(
        self, fact: Fact, request: OutgoingRequest, permit: Permit
    ) -> Event:
        """Makes one try.

        `permit` is called right before the first byte. The connection is
        closed, never reused, unless the whole answer was read; cancelling
        this call closes it too, and so tells the server.
        """
        token = PERMIT.set(permit)
        url = URL(f'http://{fact.address}{request.target}', encoded=True)
        try:
            async with self.session.request(
                request.method,
                url,
                headers=request.headers,
                data=request.body or None,
                allow_redirects=False,
                timeout=NO_TOTAL_TIMEOUT,
            ) as answer:
                return await self.read(answer, request.max_answer_bytes)
        except (
            ClientConnectorError,
            ConnectionTimeoutError,
            FirstByteRefused,
        ):
            return ConnectFailed()
        except (ClientError, OSError):
            return ExchangeBroken(Reason.CONNECTION_LOST)
        finally:
            PERMIT.reset(token)

    async def confirm(self, fact: Fact) -> Event:
        """Asks a server whether it takes new work."""
        url = URL(f'http://{fact.address}{CONFIRM_PATH}')
        try:
            async with self.session.get(
                url, timeout=CONFIRM_TIMEOUT
            ) as answer:
                leaving = LEAVING_HEADER in answer.headers
                if answer.status == 200 and not leaving:
                    return ServerConfirmed()
        except (ClientError, OSError, TimeoutError):
            pass
        return ServerUnconfirmed()

    async def read(self, answer: ClientResponse, max_bytes: int) -> Event:
        """Reads the whole answer within its size bound."""
        length = answer.content_length
        if length is not None and length > max_bytes:
            answer.close()
            return ExchangeBroken(Reason.ANSWER_TOO_LARGE)
        parts = []
        size = 0
        async for part in answer.content.iter_any():
            size += len(part)
            if size > max_bytes:
                answer.close()
                return ExchangeBroken(Reason.ANSWER_TOO_LARGE)
            parts.append(part)
        if answer.status == 503 and NOT_STARTED_HEADER in answer.headers:
            return Shed(SHED_RETRY_AFTER_MS)
        headers = tuple(
            (name, value)
            for name, value in answer.headers.items()
            if name.lower() not in HOP_BY_HOP
            and name.lower() != 'content-length'
        )
        return AnswerRead(answer.status, headers, b''.join(parts))


def open_session() -> ClientSession:
    """Returns a session for calls to backend servers."""
    connector = TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S)
    session = ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        request_class=GuardedRequest,
        skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
    )
    # The library resends idempotent requests by itself on a lost
    # connection; tries are counted and bounded here instead.
    session._retry_connection = False
    return session
