"""Client of the feed of the agent on this host."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from logging import getLogger
from random import Random

from mode import Service
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from cowslipmill.agent.messages import DocumentInForce
from cowslipmill.agent.messages import EntryLeaving
from cowslipmill.agent.messages import Facts
from cowslipmill.agent.messages import FEED_CODEC
from cowslipmill.agent.messages import FeedMessage
from cowslipmill.agent.messages import Hello
from cowslipmill.agent.messages import MAX_FEED_BYTES
from cowslipmill.agent.messages import Members
from cowslipmill.configuration.stamp import NO_DOCUMENT
from cowslipmill.configuration.stamp import Stamp
from cowslipmill.document.cache import DocumentCache
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.entry.observations import Observations
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.peers.codec import Malformed

LOG = getLogger(__name__)

MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.5
CLOSE_TIMEOUT_S = 0.2
REPORT_INTERVAL_S = 0.05


class FeedClient(Service):
    """Updates the routing state from the agent and sends it reports.

    While the agent is unreachable the entry keeps its last routing state.

    Attributes:
        address: Address of the agent's feed.
        hello: First message on each connection.
        routing_state: The state to update.
        stamp: Version and digest of the document in force.
        observations: Server states to report to the agent.
        leaving: Whether to report that the entry accepts no new requests.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        routing_state: RoutingState,
        random: Random,
    ) -> None:
        """Creates the client; it connects once the service starts."""
        super().__init__()
        self.address = address
        self.hello = hello
        self.routing_state = routing_state
        self.random = random
        self.stamp = NO_DOCUMENT
        self.observations = Observations()
        self.leaving = False
        self.document_cache = DocumentCache()

    @Service.task
    async def keep_connected(self) -> None:
        """Connects to the agent, and again after a random delay."""
        while not self.should_stop:
            try:
                async with connect(
                    f'ws://{self.address}',
                    compression=None,
                    max_size=MAX_FEED_BYTES,
                    close_timeout=CLOSE_TIMEOUT_S,
                ) as connection:
                    await self.receive(connection)
            except (OSError, TimeoutError, WebSocketException):
                pass
            delay_s = self.random.uniform(
                MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S
            )
            await self.sleep(delay_s)

    async def receive(self, connection: ClientConnection) -> None:
        """Handles messages of the agent until the connection closes."""
        await connection.send(FEED_CODEC.encode(self.hello))
        self.observations.reported.clear()
        reporter = create_task(self.send_reports(connection))
        try:
            async for raw in connection:
                if isinstance(raw, bytes):
                    self.on_message(FEED_CODEC.decode(raw))
        finally:
            reporter.cancel()

    def on_message(self, message: FeedMessage | Malformed) -> None:
        """Handles one message; a malformed one is ignored."""
        if isinstance(message, DocumentInForce):
            self.apply_document(message)
        if isinstance(message, Facts):
            self.routing_state.merge_facts(message.facts)
        if isinstance(message, Members):
            now = get_running_loop().time()
            self.routing_state.update_members(message.members, now)
            self.routing_state.record_sync(message.age_ms, now)

    async def send_reports(self, connection: ClientConnection) -> None:
        """Reports observations, and once that the entry is leaving."""
        leaving_sent = False
        try:
            while True:
                observed = self.observations.take_due(
                    get_running_loop().time()
                )
                if observed is not None:
                    await connection.send(FEED_CODEC.encode(observed))
                if self.leaving and not leaving_sent:
                    await connection.send(FEED_CODEC.encode(EntryLeaving()))
                    leaving_sent = True
                await sleep(REPORT_INTERVAL_S)
        except WebSocketException:
            return

    def apply_document(self, message: DocumentInForce) -> None:
        """Applies the agent's document if it is newer and valid."""
        stamp = Stamp(message.version, message.digest)
        if stamp <= self.stamp:
            return
        try:
            document = self.document_cache.decode(message.raw)
        except InvalidDocument as error:
            LOG.warning('document refused', extra={'reason': str(error)})
            return
        self.stamp = stamp
        if self.routing_state.apply_document(document):
            LOG.info('document in force', extra={'version': document.version})
