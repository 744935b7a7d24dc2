"""A bare pass-through: what a hop costs without any logic."""

from aiohttp import ClientSession
from aiohttp import DummyCookieJar
from aiohttp import TCPConnector
from aiohttp.web import BaseRequest
from aiohttp.web import Response
from aiohttp.web import Server
from aiohttp.web import ServerRunner
from aiohttp.web import TCPSite
from mode import Service

from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError


class StandinPassthrough(Service):
    """Passes each request on to the servers in turn."""

    def __init__(self, address: str, targets: tuple[str, ...]) -> None:
        """Keeps its own address and those of the servers."""
        super().__init__()
        self.address = address
        self.targets = targets
        self.calls = 0

    async def on_start(self) -> None:
        """Listens.

        Raises:
            CannotListen: If the address is taken.
        """
        self.session = await self.add_async_context(
            ClientSession(
                connector=TCPConnector(limit=0),
                cookie_jar=DummyCookieJar(),
                auto_decompress=False,
            )
        )
        self.runner = ServerRunner(
            Server(self.handle), access_log=None, shutdown_timeout=0.5
        )
        await self.runner.setup()
        host, port = split_address(self.address)
        try:
            await TCPSite(self.runner, host, port).start()
        except OSError as error:
            raise ListenError('passthrough', self.address, error) from error

    async def on_stop(self) -> None:
        """Stops listening."""
        await self.runner.cleanup()

    async def handle(self, request: BaseRequest) -> Response:
        """Passes one request on."""
        self.calls += 1
        target = self.targets[self.calls % len(self.targets)]
        body = await request.read() if request.body_exists else None
        async with self.session.request(
            request.method,
            f'http://{target}{request.path_qs}',
            headers=request.headers,
            data=body,
        ) as answer:
            content = await answer.read()
            headers = answer.headers.copy()
            headers.popall('Content-Length', None)
            return Response(
                status=answer.status, headers=headers, body=content
            )
