"""The administration server: liveness, readiness and metrics."""

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
    """Serves `/livez`, `/readyz`, `/metrics` and routes of subclasses.

    Attributes:
        routes: Additional routes of a subclass.
    """

    def __init__(self, address: str, is_ready: Callable[[], bool]) -> None:
        """Keeps the listen address and the readiness check."""
        super().__init__()
        self.address = address
        self.is_ready = is_ready
        self.routes: list[RouteDef] = []

    async def on_start(self) -> None:
        """Starts listening.

        Raises:
            ListenError: If the address cannot be bound.
        """
        app = Application()
        app.add_routes(
            [
                get('/livez', self.serve_livez),
                get('/readyz', self.serve_readyz),
                get('/metrics', self.serve_metrics),
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

    async def serve_livez(self, request: Request) -> Response:
        """Responds with 200 while the process runs."""
        return Response(text='live\n')

    async def serve_readyz(self, request: Request) -> Response:
        """Responds with 200 if the process accepts new requests, else 503."""
        if self.is_ready():
            return Response(text='ready\n')
        return Response(status=503, text='not ready\n')

    async def serve_metrics(self, request: Request) -> Response:
        """Responds with all metrics in the Prometheus text format."""
        return Response(
            body=generate_latest(),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )
