"""Watches the platform and reports what is newer."""

from asyncio import Queue
from asyncio import sleep
from random import Random

from aiohttp import ClientSession
from mode import Service
from msgspec import Struct

from cowslipmill.publication.client import PlatformClient
from cowslipmill.publication.client import Unavailable
from cowslipmill.publication.hostlist import HostList

WATCH_MS = 10_000
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
IDLE_PAUSE_S = 0.25
IMMEDIATE_READ_EVERY = 3


class PlatformUp(Struct, frozen=True):
    """A call to the platform succeeded."""


class DocumentRead(Struct, frozen=True):
    """A raw document that the platform serves."""

    raw: bytes


class PlatformDown(Struct, frozen=True):
    """A call to the platform failed."""

    reason: str


PlatformReport = DocumentRead | HostList | PlatformDown | PlatformUp


class PlatformWatcher(Service):
    """Keeps one watch on each of the platform's values while it is asked to.

    Every third call reads without waiting, so that a second document of the
    version in force is noticed too.

    Attributes:
        enabled: Whether to call the platform; set by the owner.
        reports: Where what was read goes.
        known_version: Highest document version seen, set by the owner.
        known_revision: Highest host list revision seen.
    """

    def __init__(
        self, base_url: str, reports: 'Queue[PlatformReport]', random: Random
    ) -> None:
        """Keeps the address, the queue and the source of jitter."""
        super().__init__()
        self.base_url = base_url
        self.reports = reports
        self.random = random
        self.known_version = 0
        self.known_revision = 0
        self.enabled = False
        self.client: PlatformClient | None = None

    async def on_start(self) -> None:
        """Opens the session."""
        session = await self.add_async_context(ClientSession())
        self.client = PlatformClient(self.base_url, session)

    @property
    def calls(self) -> int:
        """Calls made since the start."""
        return self.client.calls if self.client is not None else 0

    @Service.task
    async def watch_configuration(self) -> None:
        """Reads each newer document."""
        failures = 0
        turn = 0
        while not self.should_stop:
            client = self.client
            if client is None or not self.enabled:
                await sleep(IDLE_PAUSE_S)
                continue
            turn += 1
            is_immediate = turn % IMMEDIATE_READ_EVERY == 0
            value = await client.read_configuration(
                after=max(0, self.known_version - 1)
                if is_immediate
                else self.known_version,
                wait_ms=0 if is_immediate else WATCH_MS,
            )
            previous_version = self.known_version
            if isinstance(value, bytes):
                await self.reports.put(DocumentRead(value))
                await self.reports.join()
            stale = (
                isinstance(value, bytes)
                and self.known_version == previous_version
            )
            failures = await self.report_and_pause(
                value, failures, stale=stale
            )

    @Service.task
    async def watch_hosts(self) -> None:
        """Reads each newer host list."""
        failures = 0
        while not self.should_stop:
            client = self.client
            if client is None or not self.enabled:
                await sleep(IDLE_PAUSE_S)
                continue
            value = await client.read_hosts(
                after=self.known_revision, wait_ms=WATCH_MS
            )
            stale = False
            if isinstance(value, HostList):
                stale = value.revision <= self.known_revision
                self.known_revision = max(self.known_revision, value.revision)
                await self.reports.put(value)
            failures = await self.report_and_pause(
                value, failures, stale=stale
            )

    async def report_and_pause(
        self,
        value: bytes | HostList | None | Unavailable,
        failures: int,
        *,
        stale: bool,
    ) -> int:
        """Waits longer with each call that brought nothing new, with jitter.

        Args:
            value: What the call gave; None came after a whole wait.
            failures: Failures in a row before it.
            stale: Whether the value was not newer, or was refused.

        Returns:
            Failures in a row.
        """
        if isinstance(value, Unavailable):
            await self.reports.put(PlatformDown(value.reason))
        else:
            await self.reports.put(PlatformUp())
        if not (stale or isinstance(value, Unavailable)):
            await self.sleep(MIN_PAUSE_S)
            return 0
        bound = min(MIN_PAUSE_S * 2**failures, MAX_PAUSE_S)
        await self.sleep(self.random.uniform(MIN_PAUSE_S, bound + MIN_PAUSE_S))
        return failures + 1
