"""Follows the agent of this host."""

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
    """Keeps the rules up to date with the agent.

    Without its agent the entry goes on with the rules that it has.

    Attributes:
        stamp: Version and digest of the document in force.
        observations: What the data path noticed of servers.
        leaving: Whether the entry takes no new work any more.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        routing_state: RoutingState,
        random: Random,
    ) -> None:
        """Keeps where the agent is and what to change."""
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
        """Connects again and again, and takes in every message."""
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
        """Takes in messages until the connection ends."""
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
        """Takes in one message."""
        if isinstance(message, DocumentInForce):
            self.apply_document(message)
        if isinstance(message, Facts):
            self.routing_state.merge_facts(message.facts)
        if isinstance(message, Members):
            now = get_running_loop().time()
            self.routing_state.update_members(message.members, now)
            self.routing_state.record_sync(message.age_ms, now)

    async def send_reports(self, connection: ClientConnection) -> None:
        """Tells the agent what the data path noticed."""
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
        """Puts the agent's document in force unless it is an older one."""
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
