"""Receives requests from callers and answers them."""

from asyncio import timeout
from collections.abc import Callable

from aiohttp.web import BaseRequest
from aiohttp.web import Response
from aiohttp.web import Server
from aiohttp.web import ServerRunner
from aiohttp.web import TCPSite
from mode import Service
from multidict import CIMultiDict

from cowslipmill.document.document import Route
from cowslipmill.entry.dispatcher import Dispatcher
from cowslipmill.entry.metrics import REQUESTS
from cowslipmill.entry.rules import Rules
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.outcomes.headers import DEADLINE_HEADER
from cowslipmill.outcomes.headers import HOP_BY_HOP
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.rendering import render
from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import CannotListen

BODY_TIMEOUT_S = 10.0
RETRY_AFTER_MS = 1_000
VIA = '1.1 cowslipmill'


class Listener(Service):
    """The caller's side of an entry.

    Attributes:
        rules: What is in force.
        dispatcher: Serves the requests.
    """

    def __init__(
        self,
        address: str,
        rules: Rules,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
    ) -> None:
        """Keeps the address and the parts."""
        super().__init__()
        self.address = address
        self.rules = rules
        self.dispatcher = dispatcher
        self.clock = clock

    async def on_start(self) -> None:
        """Listens.

        Raises:
            CannotListen: If the address is taken.
        """
        server = Server(self.handle, handler_cancellation=True)
        self.runner = ServerRunner(server, access_log=None)
        await self.runner.setup()
        host, port = split_address(self.address)
        try:
            await TCPSite(self.runner, host, port).start()
        except OSError as error:
            raise CannotListen('listen', self.address, error) from error

    async def on_stop(self) -> None:
        """Stops listening once the requests in flight have ended."""
        await self.runner.cleanup()

    async def handle(self, request: BaseRequest) -> Response:
        """Serves one request."""
        arrived_at = self.clock()
        route = self.find_route(request)
        if isinstance(route, NotRun):
            outcome: Outcome = route
        else:
            outcome = await self.serve(request, route, arrived_at)
        name = route.name if isinstance(route, Route) else ''
        REQUESTS.labels(name, type(outcome).__name__.lower()).inc()
        rendered = render(outcome)
        return Response(
            status=rendered.status,
            headers=CIMultiDict(rendered.headers),
            body=rendered.body,
        )

    def find_route(self, request: BaseRequest) -> Route | NotRun:
        """Returns the route, or the refusal."""
        if self.rules.document is None:
            return NotRun(Reason.NO_CONFIGURATION, RETRY_AFTER_MS)
        host = request.headers.get('Host', '').partition(':')[0].lower()
        path = request.path_qs.partition('?')[0]
        route = self.rules.routes.find(host, request.method, path)
        return route or NotRun(Reason.NO_ROUTE, RETRY_AFTER_MS)

    async def serve(
        self, request: BaseRequest, route: Route, arrived_at: float
    ) -> Outcome:
        """Reads the body and has the request served."""
        body = await read_body(request, route.max_request_bytes)
        if isinstance(body, NotRun):
            return body
        deadline_ms = route.deadline_ms
        asked = request.headers.get(DEADLINE_HEADER, '')
        if asked.isdecimal():
            deadline_ms = min(deadline_ms, int(asked))
        outgoing = OutgoingRequest(
            request.method,
            request.path_qs,
            end_to_end_headers(request),
            body,
            route.max_answer_bytes,
        )
        deadline_at = arrived_at + deadline_ms / 1000
        return await self.dispatcher.dispatch(route, outgoing, deadline_at)


async def read_body(request: BaseRequest, max_bytes: int) -> bytes | NotRun:
    """Reads the whole body within its size and time bounds."""
    if not request.body_exists:
        return b''
    if (request.content_length or 0) > max_bytes:
        return NotRun(Reason.REQUEST_TOO_LARGE, 0)
    parts = []
    size = 0
    try:
        async with timeout(BODY_TIMEOUT_S):
            async for part in request.content.iter_any():
                size += len(part)
                if size > max_bytes:
                    return NotRun(Reason.REQUEST_TOO_LARGE, 0)
                parts.append(part)
    except TimeoutError:
        return NotRun(Reason.SLOW_CALLER, RETRY_AFTER_MS)
    return b''.join(parts)


def end_to_end_headers(request: BaseRequest) -> CIMultiDict[str]:
    """Returns the headers that go on to the server."""
    named = request.headers.get('Connection', '').lower().split(',')
    dropped = HOP_BY_HOP | {name.strip() for name in named}
    headers = CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped and name.lower() != 'content-length'
    )
    headers.add('Via', VIA)
    if request.remote:
        headers.add('Forwarded', f'for="{request.remote}"')
    return headers
