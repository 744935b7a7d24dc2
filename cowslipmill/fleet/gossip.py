"""Keeps hosts acquainted and spreads what the store says."""

from collections.abc import Callable
from logging import getLogger
from random import Random

from mode import Service
from msgspec.structs import replace

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import AskSnapshot
from cowslipmill.fleet.messages import BroadcastMessage
from cowslipmill.fleet.messages import Compare
from cowslipmill.fleet.messages import Hello
from cowslipmill.fleet.messages import Leaving
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.messages import Members
from cowslipmill.fleet.messages import News
from cowslipmill.fleet.messages import NewsEvent
from cowslipmill.fleet.messages import Ping
from cowslipmill.fleet.messages import Pong
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.peers.link import Unreachable
from cowslipmill.view.change import ConfigurationChange
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.packed import PackedConfiguration
from cowslipmill.view.reader import ReadResult
from cowslipmill.view.view import Snapshot
from cowslipmill.view.view import View

LOG = getLogger(__name__)

# Bound of a call between hosts that no request waits for.
CALL_TIMEOUT_S = 0.6
# Bound of a call for a view: 60 KB for 340 servers over a busy 10 Mbit/s link.
SNAPSHOT_TIMEOUT_S = 1.0
# Routes that a change may hold: some 10 KB, as they aren't compressed.
MAX_ROUTES_PER_CHANGE = 64
# Pause between two comparisons with a host of the own failure domain.
COMPARE_INTERVAL_S = 1.0
# One comparison in so many of a relay goes to any failure domain.
CROSS_DOMAIN_EVERY = 2
# Pause between greetings of a seed that hasn't answered.
SEED_INTERVAL_S = 1.0

Address = tuple[str, int]
OnEvents = Callable[[list[StoreEvent], str], None]


class Gossip(Service):
    """This host's part in the fleet.

    Attributes:
        member_list: The hosts known.
        view: What the store says.
        rpc: Calls between hosts.
        on_events: Told of each change of the view, and where it came from.
        on_store_reader: Told which host reads the store.
        seeds: Addresses of some other hosts.
    """

    def __init__(
        self,
        member_list: MemberList,
        view: View,
        rpc: Rpc,
        seeds: tuple[Address, ...],
        on_events: OnEvents,
        on_reader: Callable[[str], None],
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Registers the handlers of its messages."""
        super().__init__()
        self.member_list = member_list
        self.view = view
        self.rpc = rpc
        self.seeds = seeds
        self.on_events = on_events
        self.on_store_reader = on_reader
        self.clock = clock
        self.random = random
        self.contacted: set[Address] = set()
        rpc.register(Hello, self.on_hello)
        rpc.register(Members, self.on_members)
        rpc.register(Compare, self.on_compare)
        rpc.register(Ping, self.on_ping)
        rpc.register(Leaving, self.on_leaving)
        rpc.register(News, self.on_news)
        rpc.register(AskSnapshot, self.on_ask_snapshot)

    @Service.task
    async def contact_seeds(self) -> None:
        """Greets the seeds until enough hosts are known.

        In a large fleet the list of hosts is long, so that it isn't asked
        of every seed.
        """
        own = self.member_list.own.address
        while not self.should_stop:
            seeds = [seed for seed in self.seeds if seed != own]
            self.random.shuffle(seeds)
            for seed in seeds:
                enough = len(self.member_list.states) > 2 * len(seeds) + 1
                if seed not in self.contacted and not enough:
                    await self.send_hello(seed)
            await self.sleep(SEED_INTERVAL_S)

    @Service.task
    async def compare_members(self) -> None:
        """Compares the hosts known with one other host at a time."""
        turn = 0
        while not self.should_stop:
            await self.sleep(COMPARE_INTERVAL_S * self.random.uniform(0.8, 1))
            turn += 1
            domain: str | None = self.member_list.own.failure_domain
            if turn % CROSS_DOMAIN_EVERY == 0 and self.is_relay:
                domain = None
            others = self.member_list.other_members(domain)
            if not others:
                continue
            member = self.random.choice(others)
            call = Compare(self.member_list.digest(), self.member_list.own)
            await self.exchange_members(member.address, member.name, call)

    async def send_hello(self, address: Address) -> None:
        """Makes this host known to another and learns its hosts."""
        call = Hello(self.member_list.own)
        if not await self.exchange_members(address, '', call):
            return
        self.contacted.add(address)
        if not self.view.usable:
            await self.fetch_snapshot(address)

    async def exchange_members(
        self, address: Address, name: str, call: Hello | Compare
    ) -> bool:
        """Makes a call whose reply may name hosts."""
        reply = await self.rpc.call(address, call, CALL_TIMEOUT_S)
        if isinstance(reply, Unreachable):
            self.member_list.back_off(name, self.clock())
            return False
        if isinstance(reply, Members):
            self.add_members(reply.members)
        return True

    def add_members(self, members: tuple[Member, ...]) -> None:
        """Takes in hosts and greets the new ones nearby."""
        for member in self.member_list.add(members):
            LOG.info(
                'host known',
                extra={
                    'peer': member.name,
                    'hosts': len(self.member_list.states),
                },
            )
            domain = member.failure_domain
            if domain == self.member_list.own.failure_domain:
                self.add_future(self.send_hello(member.address))

    async def fetch_snapshot(self, address: Address) -> None:
        """Asks another host for what it knows beyond this one."""
        question = AskSnapshot(self.view.revision, self.view.version)
        reply = await self.rpc.call(address, question, SNAPSHOT_TIMEOUT_S)
        if isinstance(reply, Snapshot):
            changed = self.view.merge(reply, self.clock())
            self.on_events(changed, 'host')
            return
        LOG.info(
            'view not told',
            extra={'revision': question.since, 'version': question.version},
        )

    async def on_hello(self, message: Hello, sender: str) -> Members:
        """Takes in a host that makes itself known, and tells those nearby."""
        known = self.member_list.states.get(message.member.name)
        self.add_members((message.member,))
        if known is None or known.member != message.member:
            news = Members((message.member,))
            if self.is_relay:
                self.broadcast(news)
            else:
                self.broadcast_in_domain(news)
        return Members(self.member_list.members())

    async def on_members(self, message: Members, sender: str) -> None:
        """Takes in hosts that another host has met."""
        self.add_members(message.members)
        self.relay(message)

    async def on_compare(
        self, message: Compare, sender: str
    ) -> Members | Pong:
        """Replies with the hosts known if they differ."""
        self.add_members((message.member,))
        if message.digest == self.member_list.digest():
            return Pong()
        return Members(self.member_list.members())

    async def on_ping(self, message: Ping, sender: str) -> Pong:
        """Tells that this host is there."""
        return Pong()

    async def on_leaving(self, message: Leaving, sender: str) -> None:
        """Takes in that a host stops."""
        self.member_list.mark_leaving(message.name, message.started_ms)
        self.relay(message)
        LOG.info('host leaving', extra={'peer': message.name})

    async def on_ask_snapshot(
        self, message: AskSnapshot, sender: str
    ) -> Snapshot:
        """Replies with what the other host lacks."""
        return self.view.snapshot(
            self.clock(), since=message.since, version=message.version
        )

    async def on_news(self, message: News, sender: str) -> None:
        """Takes in what another host has read."""
        now = self.clock()
        missed = message.since > self.view.revision
        events, behind = self.decode_events(message)
        missed = missed or behind
        changed = self.view.apply_events(events, now)
        if missed:
            self.view.record_gap(message.revision)
        else:
            self.view.advance(message.revision, now - message.age_s)
        self.relay(message)
        self.on_events(changed, sender)
        self.on_store_reader(message.reader)
        if missed:
            known = self.member_list.states.get(sender)
            if known is not None:
                self.add_future(self.fetch_snapshot(known.member.address))

    def decode_events(self, message: News) -> tuple[list[StoreEvent], bool]:
        """Returns the events of news, and whether some don't apply here."""
        events: list[StoreEvent] = []
        behind = False
        for event in message.events:
            if isinstance(event, PackedConfiguration):
                events += self.view.events_of_packed(event)
            elif isinstance(event, ConfigurationChange):
                changed = self.view.events_of_change(event)
                behind = behind or changed is None
                events += changed or []
            else:
                events.append(event)
        return events, behind

    def broadcast(self, message: BroadcastMessage) -> None:
        """Tells the own failure domain, and one host of each other one.

        That host passes the message on, so that each of them crosses
        domains once.
        """
        self.broadcast_in_domain(message)
        relayed = replace(message, relay=True)
        now = self.clock()
        relays: list[Member] = []
        for domain in self.member_list.failure_domains():
            if domain != self.member_list.own.failure_domain:
                relays += self.member_list.ranked_members(
                    'relay', domain, now
                )[:1]
        self.rpc.send_all(relays, relayed)

    def broadcast_in_domain(self, message: BroadcastMessage) -> None:
        """Tells the other hosts of the own failure domain."""
        plain = replace(message, relay=False)
        own = self.member_list.own.failure_domain
        self.rpc.send_all(self.member_list.other_members(own), plain)

    def relay(self, message: BroadcastMessage) -> None:
        """Passes a message on if it came from another failure domain."""
        if message.relay:
            self.broadcast_in_domain(message)

    @property
    def is_relay(self) -> bool:
        """Whether this host passes on what comes from other domains."""
        own = self.member_list.own
        order = self.member_list.ranked_members(
            'relay', own.failure_domain, self.clock()
        )
        return bool(order) and order[0].name == own.name

    def publish(self, reading: ReadResult) -> None:
        """Tells the fleet what this host has read from the store."""
        age_s = round(self.clock() - self.view.synced_at, 4)
        events: list[NewsEvent] = []
        for event in reading.updates:
            if not isinstance(event, ConfigurationUpdated):
                events.append(event)
            elif told := self.configuration_update():
                events.append(told)
        news = News(
            reading.since,
            reading.revision,
            age_s,
            tuple(events),
            self.member_list.own.name,
            relay=False,
        )
        self.broadcast(news)

    def configuration_update(
        self,
    ) -> ConfigurationChange | PackedConfiguration | None:
        """Returns the configuration as news, as a change if that is known.

        A host that has another version than the one before asks for it. A
        change of many routes is larger than the whole, which is compressed.
        """
        change = self.view.configuration_change()
        if change is not None and len(change.routes) <= MAX_ROUTES_PER_CHANGE:
            return change
        return self.view.packed_configuration()

    def announce_leaving(self) -> None:
        """Tells the fleet that this host stops."""
        own = self.member_list.own
        self.broadcast(Leaving(own.name, own.started_ms))
