"""Watches the platform for newer documents and host lists."""

from asyncio import Queue
from asyncio import sleep
from random import Random

from aiohttp import ClientSession
from mode import Service
from msgspec import Struct

from cowslipmill.publication.client import PlatformClient
from cowslipmill.publication.client import Unavailable
from cowslipmill.publication.hostlist import HostList
from cowslipmill.runtime.backoff import doubled

WATCH_MS = 10_000
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
IDLE_PAUSE_S = 0.25
IMMEDIATE_READ_EVERY = 3


class PlatformUp(Struct, frozen=True):
    """A call to the platform succeeded."""


class DocumentRead(Struct, frozen=True):
    """A raw document, as the platform served it."""

    raw: bytes


class PlatformDown(Struct, frozen=True):
    """A call to the platform failed."""

    reason: str


PlatformReport = DocumentRead | HostList | PlatformDown | PlatformUp


class PlatformWatcher(Service):
    """Watches the platform's configuration and host list while enabled.

    Every third read of the configuration does not wait and also asks for
    the version in force, so that a second document of the same version is
    noticed.

    Attributes:
        enabled: Whether to call the platform; set by the agent.
        reports: Queue that receives what was read, and failures.
        known_version: Version of the document in force; set by the agent.
        known_revision: Highest host list revision seen.
    """

    def __init__(
        self, base_url: str, reports: 'Queue[PlatformReport]', random: Random
    ) -> None:
        """Creates a watcher that is not enabled.

        Args:
            base_url: URL of the platform.
            reports: Queue that receives what was read, and failures.
            random: Source of jitter.
        """
        super().__init__()
        self.base_url = base_url
        self.reports = reports
        self.random = random
        self.known_version = 0
        self.known_revision = 0
        self.enabled = False
        self.client: PlatformClient | None = None

    async def on_start(self) -> None:
        """Opens the HTTP session."""
        session = await self.add_async_context(ClientSession())
        self.client = PlatformClient(self.base_url, session)

    @property
    def calls(self) -> int:
        """Number of calls made since the start."""
        return self.client.calls if self.client is not None else 0

    @Service.task
    async def watch_configuration(self) -> None:
        """Reads each newer document while enabled."""
        failures = 0
        read_number = 0
        while not self.should_stop:
            client = self.client
            if client is None or not self.enabled:
                await sleep(IDLE_PAUSE_S)
                continue
            read_number += 1
            is_immediate = read_number % IMMEDIATE_READ_EVERY == 0
            result = await client.read_configuration(
                after=max(0, self.known_version - 1)
                if is_immediate
                else self.known_version,
                wait_ms=0 if is_immediate else WATCH_MS,
            )
            previous_version = self.known_version
            if isinstance(result, bytes):
                await self.reports.put(DocumentRead(result))
                await self.reports.join()
            stale = (
                isinstance(result, bytes)
                and self.known_version == previous_version
            )
            failures = await self.report_and_pause(
                result, failures, stale=stale
            )

    @Service.task
    async def watch_hosts(self) -> None:
        """Reads each newer host list while enabled."""
        failures = 0
        while not self.should_stop:
            client = self.client
            if client is None or not self.enabled:
                await sleep(IDLE_PAUSE_S)
                continue
            result = await client.read_hosts(
                after=self.known_revision, wait_ms=WATCH_MS
            )
            stale = False
            if isinstance(result, HostList):
                stale = result.revision <= self.known_revision
                self.known_revision = max(self.known_revision, result.revision)
                await self.reports.put(result)
            failures = await self.report_and_pause(
                result, failures, stale=stale
            )

    async def report_and_pause(
        self,
        result: bytes | HostList | None | Unavailable,
        failures: int,
        *,
        stale: bool,
    ) -> int:
        """Reports whether the platform responded, then pauses.

        The pause grows exponentially, with jitter, with each call in a row
        that failed or returned a value that is not newer.

        Args:
            result: Result of the call; None if nothing newer came within
                the wait, which does not lengthen the pause.
            failures: Number of such calls in a row before this one.
            stale: Whether the value was not newer, or the document was
                refused.

        Returns:
            Number of such calls in a row, including this one.
        """
        if isinstance(result, Unavailable):
            await self.reports.put(PlatformDown(result.reason))
        else:
            await self.reports.put(PlatformUp())
        if not (stale or isinstance(result, Unavailable)):
            await self.sleep(MIN_PAUSE_S)
            return 0
        backoff_s = doubled(MIN_PAUSE_S, failures, MAX_PAUSE_S)
        await self.sleep(
            self.random.uniform(MIN_PAUSE_S, backoff_s + MIN_PAUSE_S)
        )
        return failures + 1
