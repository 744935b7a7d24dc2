"""Fetches newer documents from peers, the nearest first."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import timeout
from collections.abc import Callable
from logging import getLogger
from typing import Any

from mode import Service

from cowslipmill.agent.peermessages import FetchDocument
from cowslipmill.agent.peermessages import WholeDocument
from cowslipmill.agent.state import AgentState
from cowslipmill.configuration.delta import apply_delta
from cowslipmill.configuration.delta import DocumentDelta
from cowslipmill.configuration.offerresult import Accepted
from cowslipmill.configuration.stamp import NO_DOCUMENT
from cowslipmill.configuration.stamp import Stamp
from cowslipmill.document.canonical import encode_canonical
from cowslipmill.peers.links import PeerLinks

LOG = getLogger(__name__)

FETCH_TIMEOUT_S = 1.0
MAX_SOURCES = 16


class Fetcher(Service):
    """One fetch at a time, of the greatest document offered.

    Attributes:
        agent_state: What this agent knows.
        sources: Addresses that have each document offered.
        wants_whole: Whether the last delta did not fit.
        idle: Set while there is nothing to fetch.
    """

    def __init__(
        self,
        state: AgentState,
        links: PeerLinks,
        on_document: Callable[[], None],
    ) -> None:
        """Starts with nothing offered."""
        super().__init__()
        self.agent_state = state
        self.links = links
        self.on_document = on_document
        self.sources: dict[Stamp, list[str]] = {}
        self.wants_whole = False
        self.offered = Event()
        self.idle = Event()
        self.idle.set()

    def offer(self, stamp: Stamp, address: str) -> None:
        """Notes that a peer has a document."""
        if stamp <= self.agent_state.configuration.stamp:
            return
        sources = self.sources.setdefault(stamp, [])
        if address not in sources and len(sources) < MAX_SOURCES:
            sources.append(address)
        self.idle.clear()
        self.offered.set()

    async def wait_until_idle(self, bound_s: float) -> None:
        """Returns when nothing is left to fetch, or after a bound."""
        try:
            async with timeout(bound_s):
                await self.idle.wait()
        except TimeoutError:
            return

    @Service.task
    async def fetch_offered(self) -> None:
        """Fetches one document after the other."""
        while not self.should_stop:
            await self.offered.wait()
            self.drop_known()
            if not self.sources:
                self.offered.clear()
                self.idle.set()
                continue
            stamp = max(self.sources)
            address = self.pop_source(stamp)
            known = self.agent_state.configuration.stamp
            request = FetchDocument(NO_DOCUMENT if self.wants_whole else known)
            reply = await self.links.call(address, request, FETCH_TIMEOUT_S)
            self.on_reply(reply, stamp, address)

    def drop_known(self) -> None:
        """Forgets offers that are not newer than what is in force."""
        known = self.agent_state.configuration.stamp
        self.sources = {
            stamp: addresses
            for stamp, addresses in self.sources.items()
            if stamp > known and addresses
        }

    def pop_source(self, stamp: Stamp) -> str:
        """Returns the nearest address that has a document."""
        own = self.agent_state.detector.own.failure_domain
        near = {
            record.address
            for record in self.agent_state.detector.others()
            if record.failure_domain == own
        }
        sources = self.sources[stamp]
        address = next((a for a in sources if a in near), sources[0])
        sources.remove(address)
        return address

    def on_reply(self, reply: Any, stamp: Stamp, address: str) -> None:
        """Puts a fetched document in force."""
        configuration = self.agent_state.configuration
        now = get_running_loop().time()
        raw = b''
        if isinstance(reply, WholeDocument):
            raw = reply.raw
            self.wants_whole = False
        if isinstance(reply, DocumentDelta):
            base = configuration.history.get(reply.base)
            document = base and apply_delta(base, reply)
            self.wants_whole = document is None
            if document is None:
                LOG.warning('delta refused', extra={'peer': address})
            raw = encode_canonical(document) if document else b''
        if raw and isinstance(configuration.offer(raw, now), Accepted):
            self.agent_state.outbox.add_document()
            self.on_document()
