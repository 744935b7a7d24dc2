"""Watches the platform and reports what is newer."""

from asyncio import Queue
from random import Random

from aiohttp import ClientSession
from mode import Service
from msgspec import Struct

from cowslipmill.platform.client import PlatformClient
from cowslipmill.platform.client import Unavailable
from cowslipmill.platform.hostlist import HostList

WATCH_MS = 10_000
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0


class Published(Struct, frozen=True):
    """A raw document that the platform serves."""

    raw: bytes


class PlatformDown(Struct, frozen=True):
    """A call to the platform failed."""

    reason: str


Report = Published | HostList | PlatformDown


class Watcher(Service):
    """Keeps one watch on each of the platform's values.

    Attributes:
        reports: Where what was read goes.
        version: Highest document version seen, set by the owner.
        revision: Highest host list revision seen.
    """

    def __init__(
        self, base_url: str, reports: 'Queue[Report]', random: Random
    ) -> None:
        """Keeps the address, the queue and the source of jitter."""
        super().__init__()
        self.base_url = base_url
        self.reports = reports
        self.random = random
        self.version = 0
        self.revision = 0

    async def on_start(self) -> None:
        """Opens the session."""
        session = await self.add_async_context(ClientSession())
        self.client = PlatformClient(self.base_url, session)

    @Service.task
    async def watch_configuration(self) -> None:
        """Reads each newer document."""
        failures = 0
        while not self.should_stop:
            value = await self.client.read_configuration(
                after=self.version, wait_ms=WATCH_MS
            )
            failures = await self.pause_after(value, failures)
            if isinstance(value, bytes):
                await self.reports.put(Published(value))

    @Service.task
    async def watch_hosts(self) -> None:
        """Reads each newer host list."""
        failures = 0
        while not self.should_stop:
            value = await self.client.read_hosts(
                after=self.revision, wait_ms=WATCH_MS
            )
            failures = await self.pause_after(value, failures)
            if isinstance(value, HostList):
                self.revision = value.revision
                await self.reports.put(value)

    async def pause_after(
        self, value: bytes | HostList | None | Unavailable, failures: int
    ) -> int:
        """Waits longer with each failure, with jitter.

        Returns:
            Failures in a row.
        """
        if not isinstance(value, Unavailable):
            await self.sleep(MIN_PAUSE_S)
            return 0
        await self.reports.put(PlatformDown(value.reason))
        bound = min(MIN_PAUSE_S * 2**failures, MAX_PAUSE_S)
        await self.sleep(self.random.uniform(MIN_PAUSE_S, bound + MIN_PAUSE_S))
        return failures + 1
