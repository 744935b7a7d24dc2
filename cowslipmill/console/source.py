"""Reads what is in force from the platform and the agents."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import ClientSession

from cowslipmill.document.checker import decode_document
from cowslipmill.document.digest import document_digest
from cowslipmill.document.document import Document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import Role
from cowslipmill.publication.client import PlatformClient
from cowslipmill.publication.client import Unavailable
from cowslipmill.settings.settings import ConsoleSettings
from cowslipmill.status.collector import collect_status
from cowslipmill.status.collector import HostResult
from cowslipmill.status.rolloutstate import newest_version


class NothingInForce(Exception):
    """No document can be built upon; the message says why."""


@dataclass(frozen=True, slots=True)
class Current:
    """The document in force.

    Attributes:
        document: The document.
        raw: Its bytes as the platform serves them.
        digest: Their digest.
    """

    document: Document
    raw: bytes
    digest: str

    @property
    def entity_tag(self) -> str:
        """Returns the strong entity tag of this very document."""
        return f'"{self.document.version}-{self.digest}"'


class Source:
    """Reads for each page anew and keeps nothing.

    Attributes:
        settings: Settings of the console.
        session: Session to call through.
        clock: Tells monotonic seconds.
    """

    __slots__ = ('clock', 'session', 'settings')

    def __init__(
        self,
        settings: ConsoleSettings,
        session: ClientSession,
        clock: Callable[[], float],
    ) -> None:
        """Keeps the parts."""
        self.settings = settings
        self.session = session
        self.clock = clock

    async def read_current(self) -> Current:
        """Reads the document in force.

        Raises:
            NothingInForce: If the platform serves none that is valid and of
                this deployment.
        """
        client = PlatformClient(self.settings.platform, self.session)
        raw = await client.read_configuration(after=0, wait_ms=0)
        if isinstance(raw, Unavailable):
            raise NothingInForce(f'the platform is unavailable: {raw.reason}')
        if raw is None:
            raise NothingInForce('the platform serves no document yet')
        try:
            document = decode_document(raw)
        except InvalidDocument as error:
            raise NothingInForce(f'the document is invalid: {error}') from None
        if document.deployment != self.settings.deployment:
            reason = f'the document is of {document.deployment!r}'
            raise NothingInForce(reason)
        return Current(document, raw, document_digest(raw))

    async def read_base(self) -> Current:
        """Reads the document in force, to build the next one upon it.

        Raises:
            NothingInForce: Also if a host has a newer one in force than the
                platform serves.
        """
        current = await self.read_current()
        newest = newest_version(await self.read_hosts())
        if newest > current.document.version:
            raise NothingInForce(
                f'the platform serves version {current.document.version} '
                f'while hosts have version {newest} in force; '
                'publish that one first'
            )
        return current

    async def read_hosts(self) -> tuple[HostResult, ...]:
        """Asks every agent for its status."""
        agents = self.settings.agents
        return await collect_status(self.session, agents, self.clock)

    async def count_servers(self) -> Counter[str] | None:
        """Returns live servers by service, or None if not known."""
        client = PlatformClient(self.settings.platform, self.session)
        hosts = await client.read_hosts(after=0, wait_ms=0)
        if hosts is None or isinstance(hosts, Unavailable):
            return None
        return Counter(
            fact.service
            for fact in hosts.hosts
            if fact.role is Role.BACKEND_SERVER
            and fact.state is LifecycleState.LIVE
        )
