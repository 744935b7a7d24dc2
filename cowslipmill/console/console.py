"""The console as a service."""

from time import monotonic
from time import time

from aiohttp import ClientSession
from aiohttp.web import AppRunner
from aiohttp.web import TCPSite
from mode import Service

from cowslipmill.console.application import make_application
from cowslipmill.console.signer import Signer
from cowslipmill.console.site import Site
from cowslipmill.console.source import Source
from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError
from cowslipmill.settings.settings import ConsoleSettings


class Console(Service):
    """Serves forms and API; it keeps nothing between two requests.

    Attributes:
        settings: Settings of the process.
    """

    def __init__(self, settings: ConsoleSettings) -> None:
        """Keeps the settings."""
        super().__init__()
        self.settings = settings

    async def on_start(self) -> None:
        """Listens.

        Raises:
            CannotListen: If the address is taken.
        """
        session = await self.add_async_context(ClientSession())
        site = Site(
            settings=self.settings,
            signer=Signer(self.settings.signing_keys),
            source=Source(self.settings, session, monotonic),
            wall_clock=time,
        )
        self.runner = AppRunner(make_application(site), access_log=None)
        await self.runner.setup()
        host, port = split_address(self.settings.listen)
        try:
            await TCPSite(self.runner, host, port).start()
        except OSError as error:
            address = self.settings.listen
            raise ListenError('listen', address, error) from error

    async def on_stop(self) -> None:
        """Stops listening."""
        await self.runner.cleanup()
