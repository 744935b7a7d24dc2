"""Synchronizes an agent with the agents of the other hosts."""

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

HEARTBEAT_INTERVAL_S = 1.0
PROBES_PER_INTERVAL = 2
PROBE_TIMEOUT_S = 0.7
INDIRECT_PROBE_TIMEOUT_S = 1.5
ROUND_INTERVAL_S = 0.05
MAX_JOIN_PEERS = 16
JOIN_TIMEOUT_S = 1.5
MAX_LEAVING_TARGETS = 64
LEAVING_SEND_WAIT_S = 0.2


class PeerSync(Service):
    """Exchanges heartbeats, updates and documents with other agents.

    Attributes:
        agent_state: State of this agent.
        joined: Set after the first exchange with peers at startup.
        outbox_changed: Set when the outbox has something to send.
        on_servers_changed: Called with changed server records.
    """

    def __init__(
        self,
        settings: AgentSettings,
        state: AgentState,
        random: Random,
        on_servers_changed: Callable[[list[ServerRecord]], None],
        on_document_accepted: Callable[[], None],
    ) -> None:
        """Creates the server, links and fetcher without starting them."""
        super().__init__()
        self.settings = settings
        self.agent_state = state
        self.random = random
        self.on_servers_changed = on_servers_changed
        self.joined = Event()
        self.outbox_changed = Event()
        state.outbox.on_change = self.outbox_changed.set
        codec = make_frame_codec(
            AGENT_MESSAGES, max_bytes=MAX_AGENT_MESSAGE_BYTES
        )
        keys = settings.peer_keys
        self.links = PeerLinks(settings.host, keys, codec, random)
        self.server = PeerServer(
            settings.peer_listen, 'peer_listen', keys, codec, self.on_message
        )
        self.fetcher = Fetcher(state, self.links, on_document_accepted)

    async def on_start(self) -> None:
        """Starts the server, links and fetcher."""
        self.clock = get_running_loop().time
        await self.add_runtime_dependency(self.links)
        await self.add_runtime_dependency(self.server)
        await self.add_runtime_dependency(self.fetcher)

    async def on_message(self, message: Any, peer: str) -> Any:
        """Handles a message of a peer and returns the reply, if any."""
        now = self.clock()
        self.agent_state.detector.last_heard_at = now
        if isinstance(message, Heartbeat):
            self.agent_state.on_heartbeat(message, now)
            self.fetcher.offer(message.stamp, message.sender.address)
            return self.agent_state.make_reply(message, now)
        if isinstance(message, RecordUpdate):
            self.on_record_update(message, peer, now)
        if isinstance(message, FetchDocument):
            return self.agent_state.make_document_reply(message)
        if isinstance(message, ProbeFor):
            return ProbeResult(await self.probe_address(message.address, ''))
        return None

    def on_record_update(
        self, update: RecordUpdate, peer: str, now: float
    ) -> None:
        """Merges records of a peer and reports changed servers."""
        servers = self.agent_state.merge_update(update, now)
        if servers:
            self.on_servers_changed(servers)
        sender = self.agent_state.detector.replica.records.get(peer)
        if sender is not None:
            self.fetcher.offer(update.stamp, sender.address)

    @Service.task
    async def send_heartbeats(self) -> None:
        """Joins the fleet, then probes some peers in each interval."""
        await self.join()
        while not self.should_stop:
            for _ in range(PROBES_PER_INTERVAL):
                target = self.agent_state.detector.next_probe(self.random)
                if target is not None:
                    self.add_future(self.probe(target))
            unreached = self.agent_state.addresses_without_host()
            if unreached:
                address = self.random.choice(unreached)
                self.add_future(self.probe_address(address, ''))
            await self.sleep(
                HEARTBEAT_INTERVAL_S * self.random.uniform(0.8, 1.2)
            )

    async def join(self) -> None:
        """Fetches state and document from some peers.

        This happens before this host may watch the platform. Only the first
        two peers are asked for all records.
        """
        addresses = self.agent_state.addresses_without_host()
        self.random.shuffle(addresses)
        await gather(
            *(
                self.probe_address(address, '', joining=index < 2)
                for index, address in enumerate(addresses[:MAX_JOIN_PEERS])
            )
        )
        await self.fetcher.wait_until_idle(JOIN_TIMEOUT_S)
        self.joined.set()

    async def probe(self, target: HostRecord) -> None:
        """Probes a host directly, then through other hosts.

        The host becomes suspect if neither this host nor a relay reaches it.
        """
        if await self.probe_address(target.address, target.name):
            return
        relays = self.agent_state.detector.probe_relays(
            target.name, self.random
        )
        results = await gather(
            *(
                self.links.call(
                    relay.address,
                    ProbeFor(target.address),
                    INDIRECT_PROBE_TIMEOUT_S,
                )
                for relay in relays
            )
        )
        if any(isinstance(r, ProbeResult) and r.answered for r in results):
            return
        now = self.clock()
        changed = self.agent_state.detector.on_probe_failure(target, now)
        self.agent_state.outbox.add_hosts(changed)

    async def probe_address(
        self, address: str, name: str, *, joining: bool = False
    ) -> bool:
        """Sends a heartbeat and merges the reply.

        Args:
            address: Peer address.
            name: Host name that is expected there, or empty if unknown.
            joining: Whether to ask for all records.

        Returns:
            Whether the peer replied in time.
        """
        heartbeat = self.agent_state.make_heartbeat(
            name, self.clock(), joining=joining
        )
        timeout_s = JOIN_TIMEOUT_S if joining else PROBE_TIMEOUT_S
        reply = await self.links.call(address, heartbeat, timeout_s)
        if not isinstance(reply, HeartbeatReply):
            return False
        now = self.clock()
        self.agent_state.on_heartbeat(reply.heartbeat, now)
        self.on_record_update(reply.update, reply.heartbeat.sender.name, now)
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

    def send_repair(
        self, address: str, heartbeat: Heartbeat, now: float
    ) -> None:
        """Sends the records in which a peer's digests still differ."""
        repair = self.agent_state.make_repair(heartbeat, now)
        if repair.hosts or repair.servers:
            self.links.send(address, repair)

    @Service.task
    async def send_updates(self) -> None:
        """Sends changes to peers as soon as the outbox has any."""
        while not self.should_stop:
            await self.outbox_changed.wait()
            self.outbox_changed.clear()
            while not self.agent_state.outbox.is_empty():
                self.send_round()
                await sleep(ROUND_INTERVAL_S)

    def send_round(self) -> None:
        """Sends one round of the outbox to some peers."""
        detector = self.agent_state.detector
        targets = choose_targets(
            detector.others(), detector.own.failure_domain, self.random
        )
        update = self.agent_state.make_update(self.clock())
        for address in targets:
            self.links.send(address, update)

    @Service.task
    async def declare_gone_hosts(self) -> None:
        """Publishes hosts that became gone and closes their links."""
        while not self.should_stop:
            await sleep(HEARTBEAT_INTERVAL_S / 4)
            for record in self.agent_state.detector.tick(self.clock()):
                LOG.warning('host gone', extra={'gone': record.name})
                self.agent_state.outbox.add_hosts([record])
                await self.links.disconnect(record.address)

    async def announce_leaving(self) -> None:
        """Announces to peers that this host is leaving.

        Waits `LEAVING_SEND_WAIT_S` so that queued messages are sent before the
        links close.
        """
        detector = self.agent_state.detector
        if detector.own.state is HostState.LEAVING:
            return
        record = detector.leave(self.clock())
        update = RecordUpdate(
            hosts=(detector.replica.with_age(record, self.clock()),)
        )
        others = detector.others()
        self.random.shuffle(others)
        for host in others[:MAX_LEAVING_TARGETS]:
            self.links.send(host.address, update)
        await self.sleep(LEAVING_SEND_WAIT_S)
