"""Fetches newer documents from peers."""

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
    """Fetches the greatest offered document, one call at a time.

    Peers of the own failure domain are asked first.

    Attributes:
        agent_state: State of this agent.
        sources: Peer addresses that offer each document.
        needs_whole_document: Whether the last delta could not be
            applied, so that the next call must ask for the whole document.
        idle: Set while there is nothing to fetch.
    """

    def __init__(
        self,
        state: AgentState,
        links: PeerLinks,
        on_document_accepted: Callable[[], None],
    ) -> None:
        """Starts without offers."""
        super().__init__()
        self.agent_state = state
        self.links = links
        self.on_document_accepted = on_document_accepted
        self.sources: dict[Stamp, list[str]] = {}
        self.needs_whole_document = False
        self.has_offers = Event()
        self.idle = Event()
        self.idle.set()

    def offer(self, stamp: Stamp, address: str) -> None:
        """Records that a peer has a document, if it is newer than the own."""
        if stamp <= self.agent_state.configuration.stamp:
            return
        sources = self.sources.setdefault(stamp, [])
        if address not in sources and len(sources) < MAX_SOURCES:
            sources.append(address)
        self.idle.clear()
        self.has_offers.set()

    async def wait_until_idle(self, timeout_s: float) -> None:
        """Waits until nothing is left to fetch, or `timeout_s` seconds."""
        try:
            async with timeout(timeout_s):
                await self.idle.wait()
        except TimeoutError:
            return

    @Service.task
    async def fetch_offered(self) -> None:
        """Fetches offered documents one after the other."""
        while not self.should_stop:
            await self.has_offers.wait()
            self.drop_outdated()
            if not self.sources:
                self.has_offers.clear()
                self.idle.set()
                continue
            stamp = max(self.sources)
            address = self.pop_source(stamp)
            known = self.agent_state.configuration.stamp
            request = FetchDocument(
                NO_DOCUMENT if self.needs_whole_document else known
            )
            reply = await self.links.call(address, request, FETCH_TIMEOUT_S)
            self.on_reply(reply, stamp, address)

    def drop_outdated(self) -> None:
        """Drops offers without sources or not newer than the own document."""
        known = self.agent_state.configuration.stamp
        self.sources = {
            stamp: addresses
            for stamp, addresses in self.sources.items()
            if stamp > known and addresses
        }

    def pop_source(self, stamp: Stamp) -> str:
        """Removes and returns a source, from the own failure domain if any."""
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
        """Offers the document of a reply to the configuration.

        Args:
            reply: A `WholeDocument`, a `DocumentDelta` or a failed call.
            stamp: Stamp that was asked for.
            address: Peer address of the sender.
        """
        configuration = self.agent_state.configuration
        now = get_running_loop().time()
        raw = b''
        if isinstance(reply, WholeDocument):
            raw = reply.raw
            self.needs_whole_document = False
        if isinstance(reply, DocumentDelta):
            base = configuration.history.get(reply.base)
            document = base and apply_delta(base, reply)
            self.needs_whole_document = document is None
            if document is None:
                LOG.warning('delta refused', extra={'peer': address})
            raw = encode_canonical(document) if document else b''
        if raw and isinstance(configuration.offer(raw, now), Accepted):
            self.agent_state.outbox.add_document()
            self.on_document_accepted()
