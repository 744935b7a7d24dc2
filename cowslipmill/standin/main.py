"""The program `cowslipmill-standin`."""

from mode import Service

from cowslipmill.runtime.program import define_settings_flag
from cowslipmill.runtime.program import load_program_settings
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import run_service
from cowslipmill.standin.collector import StandinCollector
from cowslipmill.standin.floods import FloodingCallers
from cowslipmill.standin.floods import FloodingServer
from cowslipmill.standin.occupancy import Occupancy
from cowslipmill.standin.passthrough import StandinPassthrough
from cowslipmill.standin.platform import StandinPlatform
from cowslipmill.standin.server import StandinServer
from cowslipmill.standin.settings import StandinSettings


class Standins(Service):
    """The stand-ins of one process."""

    def __init__(self, settings: StandinSettings) -> None:
        """Keeps the settings; nothing starts yet."""
        super().__init__()
        self.settings = settings

    async def on_start(self) -> None:
        """Starts every stand-in."""
        if self.settings.platform is not None:
            await self.add_runtime_dependency(
                StandinPlatform(self.settings.platform)
            )
        if self.settings.collector is not None:
            await self.add_runtime_dependency(
                StandinCollector(self.settings.collector)
            )
        occupancy = Occupancy()
        passthrough = self.settings.passthrough
        if passthrough is not None:
            await self.add_runtime_dependency(
                StandinPassthrough(passthrough.address, passthrough.targets)
            )
        for server in self.settings.servers:
            await self.add_runtime_dependency(StandinServer(server, occupancy))
        for flooding in self.settings.flooding_servers:
            await self.add_runtime_dependency(FloodingServer(flooding))
        if self.settings.flooding_callers is not None:
            await self.add_runtime_dependency(
                FloodingCallers(self.settings.flooding_callers)
            )


def main(arguments: list[str]) -> int:
    """Runs stand-ins of the platform and of backend servers."""
    settings = load_program_settings(StandinSettings)
    return run_service(
        'cowslipmill-standin', settings.name, lambda: Standins(settings)
    )


def run() -> None:
    """Starts the program from the command line."""
    define_settings_flag()
    run_program(main)
