"""The links of an agent to the agents of the other hosts."""

from asyncio import Event
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from collections.abc import Callable
from logging import getLogger
from random import Random
from typing import Any

from mode import Service

from cowslipmill.agent.fetcher import Fetcher
from cowslipmill.agent.outbox import choose_targets
from cowslipmill.agent.peermessages import AGENT_MESSAGES
from cowslipmill.agent.peermessages import FetchDocument
from cowslipmill.agent.peermessages import Heartbeat
from cowslipmill.agent.peermessages import HeartbeatReply
from cowslipmill.agent.peermessages import MAX_AGENT_MESSAGE_BYTES
from cowslipmill.agent.peermessages import ProbeFor
from cowslipmill.agent.peermessages import ProbeResult
from cowslipmill.agent.peermessages import RecordUpdate
from cowslipmill.agent.state import AgentState
from cowslipmill.membership.record import HostRecord
from cowslipmill.membership.record import HostState
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.peers.links import PeerLinks
from cowslipmill.peers.server import PeerServer
from cowslipmill.serverstate.record import ServerRecord
from cowslipmill.settings.settings import AgentSettings

LOG = getLogger(__name__)

PERIOD_S = 1.0
PROBES_PER_PERIOD = 2
PROBE_TIMEOUT_S = 0.7
INDIRECT_TIMEOUT_S = 1.5
FLUSH_S = 0.05
MAX_JOINED_PEERS = 16
JOIN_TIMEOUT_S = 1.5
MAX_LEAVING_PEERS = 64
LEAVING_PAUSE_S = 0.2


class PeerSync(Service):
    """Heartbeats, news and documents between agents.

    Attributes:
        agent_state: What this agent knows.
        joined: Set once peers were asked at the start.
        changed: Set when there is something to tell.
        on_servers: Called with servers that are news.
    """

    def __init__(
        self,
        settings: AgentSettings,
        state: AgentState,
        random: Random,
        on_servers: Callable[[list[ServerRecord]], None],
        on_document: Callable[[], None],
    ) -> None:
        """Makes server and links; nothing starts yet."""
        super().__init__()
        self.settings = settings
        self.agent_state = state
        self.random = random
        self.on_servers = on_servers
        self.joined = Event()
        self.changed = Event()
        state.outbox.on_change = self.changed.set
        codec = make_frame_codec(
            AGENT_MESSAGES, max_bytes=MAX_AGENT_MESSAGE_BYTES
        )
        keys = settings.peer_keys
        self.links = PeerLinks(settings.host, keys, codec, random)
        self.server = PeerServer(
            settings.peer_listen, 'peer_listen', keys, codec, self.handle
        )
        self.fetcher = Fetcher(state, self.links, on_document)

    async def on_start(self) -> None:
        """Starts server, links and fetcher."""
        self.clock = get_running_loop().time
        await self.add_runtime_dependency(self.links)
        await self.add_runtime_dependency(self.server)
        await self.add_runtime_dependency(self.fetcher)

    async def handle(self, message: Any, peer: str) -> Any:
        """Takes in a peer's message and returns the reply."""
        now = self.clock()
        self.agent_state.detector.last_heard_at = now
        if isinstance(message, Heartbeat):
            self.agent_state.on_heartbeat(message, now)
            self.fetcher.offer(message.stamp, message.sender.address)
            return self.agent_state.make_reply(message, now)
        if isinstance(message, RecordUpdate):
            self.take_news(message, peer, now)
        if isinstance(message, FetchDocument):
            return self.agent_state.make_document_reply(message)
        if isinstance(message, ProbeFor):
            return ProbeResult(await self.probe_address(message.address, ''))
        return None

    def take_news(self, news: RecordUpdate, peer: str, now: float) -> None:
        """Takes in records and tells this host's entries of them."""
        servers = self.agent_state.merge_update(news, now)
        if servers:
            self.on_servers(servers)
        sender = self.agent_state.detector.replica.records.get(peer)
        if sender is not None:
            self.fetcher.offer(news.stamp, sender.address)

    @Service.task
    async def send_heartbeats(self) -> None:
        """Asks peers at the start, then probes a few in each period."""
        await self.join()
        while not self.should_stop:
            for _ in range(PROBES_PER_PERIOD):
                target = self.agent_state.detector.next_probe(self.random)
                if target is not None:
                    self.add_future(self.probe(target))
            unheard = self.agent_state.addresses_without_host()
            if unheard:
                address = self.random.choice(unheard)
                self.add_future(self.probe_address(address, ''))
            await self.sleep(PERIOD_S * self.random.uniform(0.8, 1.2))

    async def join(self) -> None:
        """Asks some peers for all they know, before the platform."""
        addresses = self.agent_state.addresses_without_host()
        self.random.shuffle(addresses)
        await gather(
            *(
                self.probe_address(address, '', joining=index < 2)
                for index, address in enumerate(addresses[:MAX_JOINED_PEERS])
            )
        )
        await self.fetcher.wait_until_idle(JOIN_TIMEOUT_S)
        self.joined.set()

    async def probe(self, target: HostRecord) -> None:
        """Probes a host, with the help of others if need be."""
        if await self.probe_address(target.address, target.name):
            return
        helpers = self.agent_state.detector.probe_relays(
            target.name, self.random
        )
        results = await gather(
            *(
                self.links.call(
                    helper.address,
                    ProbeFor(target.address),
                    INDIRECT_TIMEOUT_S,
                )
                for helper in helpers
            )
        )
        if any(isinstance(r, ProbeResult) and r.answered for r in results):
            return
        now = self.clock()
        news = self.agent_state.detector.on_probe_failure(target, now)
        self.agent_state.outbox.add_hosts(news)

    async def probe_address(
        self, address: str, name: str, *, joining: bool = False
    ) -> bool:
        """Sends a heartbeat and tells whether the peer replied."""
        heartbeat = self.agent_state.make_heartbeat(
            name, self.clock(), joining=joining
        )
        timeout_s = JOIN_TIMEOUT_S if joining else PROBE_TIMEOUT_S
        reply = await self.links.call(address, heartbeat, timeout_s)
        if not isinstance(reply, HeartbeatReply):
            return False
        now = self.clock()
        self.agent_state.on_heartbeat(reply.heartbeat, now)
        self.take_news(reply.update, reply.heartbeat.sender.name, now)
        if (
            reply.heartbeat.hosts
            != self.agent_state.detector.replica.digests()
        ):
            self.send_repair(address, reply.heartbeat, now)
        elif (
            reply.heartbeat.servers
            != self.agent_state.servers.replica.digests()
        ):
            self.send_repair(address, reply.heartbeat, now)
        return True

    def send_repair(self, address: str, peer: Heartbeat, now: float) -> None:
        """Sends records where a peer's digests still differ."""
        repair = self.agent_state.make_repair(peer, now)
        if repair.hosts or repair.servers:
            self.links.send(address, repair)

    @Service.task
    async def send_news(self) -> None:
        """Tells peers of changes as soon as there are any."""
        while not self.should_stop:
            await self.changed.wait()
            self.changed.clear()
            while not self.agent_state.outbox.is_empty():
                self.flush()
                await sleep(FLUSH_S)

    def flush(self) -> None:
        """Sends one round of the outbox."""
        detector = self.agent_state.detector
        targets = choose_targets(
            detector.others(), detector.own.failure_domain, self.random
        )
        news = self.agent_state.make_update(self.clock())
        for address in targets:
            self.links.send(address, news)

    @Service.task
    async def move_on(self) -> None:
        """Declares hosts gone that were silent for too long."""
        while not self.should_stop:
            await sleep(PERIOD_S / 4)
            for record in self.agent_state.detector.tick(self.clock()):
                LOG.warning('host gone', extra={'gone': record.name})
                self.agent_state.outbox.add_hosts([record])
                await self.links.disconnect(record.address)

    async def leave(self) -> None:
        """Tells the peers that this host is leaving."""
        detector = self.agent_state.detector
        if detector.own.state is HostState.LEAVING:
            return
        record = detector.leave(self.clock())
        news = RecordUpdate(
            hosts=(detector.replica.with_age(record, self.clock()),)
        )
        others = detector.others()
        self.random.shuffle(others)
        for host in others[:MAX_LEAVING_PEERS]:
            self.links.send(host.address, news)
        await self.sleep(LEAVING_PAUSE_S)
