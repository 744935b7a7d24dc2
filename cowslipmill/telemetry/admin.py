"""The administration address: liveness, readiness and metrics."""

from collections.abc import Callable

from aiohttp.web import Application
from aiohttp.web import AppRunner
from aiohttp.web import get
from aiohttp.web import Request
from aiohttp.web import Response
from aiohttp.web import RouteDef
from aiohttp.web import TCPSite
from mode import Service
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError


class AdminServer(Service):
    """Serves `/livez`, `/readyz`, `/metrics` and what a subclass adds.

    Attributes:
        routes: What a subclass serves besides.
    """

    def __init__(self, address: str, is_ready: Callable[[], bool]) -> None:
        """Keeps the address and the question whether work is welcome."""
        super().__init__()
        self.address = address
        self.is_ready = is_ready
        self.routes: list[RouteDef] = []

    async def on_start(self) -> None:
        """Listens.

        Raises:
            CannotListen: If the address is taken.
        """
        app = Application()
        app.add_routes(
            [
                get('/livez', self.answer_livez),
                get('/readyz', self.answer_readyz),
                get('/metrics', self.answer_metrics),
                *self.routes,
            ]
        )
        self.runner = AppRunner(app, access_log=None)
        await self.runner.setup()
        host, port = split_address(self.address)
        try:
            await TCPSite(self.runner, host, port).start()
        except OSError as error:
            raise ListenError('admin_listen', self.address, error) from error

    async def on_stop(self) -> None:
        """Stops listening."""
        await self.runner.cleanup()

    async def answer_livez(self, request: Request) -> Response:
        """Says that the process runs."""
        return Response(text='live\n')

    async def answer_readyz(self, request: Request) -> Response:
        """Says whether the process wants new work."""
        if self.is_ready():
            return Response(text='ready\n')
        return Response(status=503, text='not ready\n')

    async def answer_metrics(self, request: Request) -> Response:
        """Returns all metrics."""
        return Response(
            body=generate_latest(),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )
