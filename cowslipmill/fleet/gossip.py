"""Gossip between hosts: membership and changes of the store."""

from asyncio import gather
from collections.abc import Callable
from logging import getLogger
from random import Random

from mode import Service
from msgspec.structs import replace

from cowslipmill.fleet.memberlist import MAX_MEMBERS
from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import AskSnapshot
from cowslipmill.fleet.messages import AskSuspects
from cowslipmill.fleet.messages import BroadcastMessage
from cowslipmill.fleet.messages import Compare
from cowslipmill.fleet.messages import Hello
from cowslipmill.fleet.messages import KnownSuspects
from cowslipmill.fleet.messages import Leaving
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.messages import Members
from cowslipmill.fleet.messages import News
from cowslipmill.fleet.messages import NewsEvent
from cowslipmill.fleet.messages import Ping
from cowslipmill.fleet.messages import Pong
from cowslipmill.fleet.messages import ServerLeaving
from cowslipmill.fleet.messages import Suspects
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.peers.link import Unreachable
from cowslipmill.runtime.backgrounderrors import logged_errors
from cowslipmill.runtime.backgrounderrors import run_logged
from cowslipmill.runtime.backoff import doubled
from cowslipmill.runtime.names import BoundedDict
from cowslipmill.suspects.suspects import SuspectRequests
from cowslipmill.view.change import ConfigurationChange
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.packed import PackedConfiguration
from cowslipmill.view.reader import ReadResult
from cowslipmill.view.view import Snapshot
from cowslipmill.view.view import View

LOG = getLogger(__name__)

# Timeout of a call to another host. No request of a caller waits for it.
CALL_TIMEOUT_S = 0.6
# Timeout of a call for a snapshot, which takes 60 KB for 340 servers, over a
# busy link of 10 Mbit/s.
SNAPSHOT_TIMEOUT_S = 1.0
# Maximum number of routes in a change, some 10 KB; changes aren't compressed.
MAX_ROUTES_PER_CHANGE = 64
# Longest pauses between two comparisons of the member list with another host:
# the first one, which doubles, and the one that is kept. When many hosts start
# at once, they miss announcements of those that they don't know yet.
FIRST_COMPARE_INTERVAL_S = 0.1
COMPARE_INTERVAL_S = 1.0
# Every how many comparisons a relay picks a host of another failure domain
# instead of its own.
CROSS_DOMAIN_EVERY = 2
# Hosts of the own failure domain that a host greets, and those that it
# compares with. Each link takes memory and processor time on both sides, so
# that their number doesn't grow with the domain.
MAX_GREETED = 8
MAX_NEIGHBOURS = 8
# Time for which new hosts are collected before they are announced. When many
# start at once, each announcement has every host rank the members anew.
ANNOUNCE_DELAY_S = 0.05
# Longest pauses before seeds that haven't responded are contacted again: the
# first one, which doubles, and the one that is kept. When all hosts start at
# once, the seeds may be the last.
FIRST_SEED_INTERVAL_S = 0.1
SEED_INTERVAL_S = 1.0
# Time without a response after which the next seed is contacted as well.
SEED_STAGGER_S = 0.1
# Time after which a host that starts serves without knowing the suspect
# requests of others. A seed that is running replies within milliseconds; if
# all hosts start at once, none can tell anything.
CATCH_UP_TIMEOUT_S = 0.5
# Pause before a seed that could not be reached is asked again.
SEED_RETRY_S = 0.05
# Hosts that have to say that they are starting as well, beside all seeds,
# before this one takes the whole fleet for starting. The others of its own
# failure domain alone don't show it: that may have lost its power alone.
MIN_STARTING_HOSTS = 5
# Hosts without a view that show that no host has one.
MIN_HOSTS_WITHOUT_VIEW = 2

Address = tuple[str, int]
OnEvents = Callable[[list[StoreEvent], str], None]


class Gossip(Service):
    """Keeps this host's member list and view in step with the fleet's.

    Attributes:
        member_list: The known hosts.
        view: The view of the store.
        suspects: Records of requests that crash servers.
        rpc: Calls between hosts.
        seeds: Addresses of some hosts, to join the fleet.
        on_events: Called with the events that changed the view and their
            source: the sending host's name, or `host` for a snapshot.
        on_store_reader: Called with the name of the host that reads the store.
        clock: Returns monotonic seconds.
        random: Random numbers for the choice of peers.
        contacted: Addresses of hosts that have responded to a `Hello`.
        started_at: When this host started, in monotonic seconds.
        told_suspects: Whether another host has told all suspect requests.
        snapshot_source: Address of the host to ask for its view next; None
            if there is none.
        fetching_snapshot: Whether a view is on its way.
        newcomers: New hosts that aren't announced yet.
        greetings: Hosts of this failure domain that were greeted, each with
            whether it replied or may still do so.
        starting_hosts: Addresses of the hosts that were asked for suspect
            requests and wait for them themselves.
        hosts_without_view: Addresses of the hosts that had no view to tell.
    """

    def __init__(
        self,
        member_list: MemberList,
        view: View,
        rpc: Rpc,
        seeds: tuple[Address, ...],
        on_events: OnEvents,
        on_store_reader: Callable[[str], None],
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Registers the message handlers."""
        super().__init__()
        self.member_list = member_list
        self.view = view
        self.suspects = SuspectRequests()
        self.rpc = rpc
        self.seeds = seeds
        self.on_events = on_events
        self.on_store_reader = on_store_reader
        self.clock = clock
        self.random = random
        self.contacted: dict[Address, bool] = BoundedDict(MAX_MEMBERS)
        self.started_at = clock()
        self.told_suspects = False
        self.snapshot_source: Address | None = None
        self.fetching_snapshot = False
        self.newcomers: list[Member] = []
        self.greetings: dict[Member, bool] = BoundedDict(MAX_MEMBERS)
        self.starting_hosts: dict[Address, bool] = BoundedDict(MAX_MEMBERS)
        self.hosts_without_view: dict[Address, bool] = BoundedDict(MAX_MEMBERS)
        rpc.register(Hello, self.on_hello)
        rpc.register(Members, self.on_members)
        rpc.register(Compare, self.on_compare)
        rpc.register(Ping, self.on_ping)
        rpc.register(Leaving, self.on_leaving)
        rpc.register(News, self.on_news)
        rpc.register(AskSnapshot, self.on_ask_snapshot)
        rpc.register(ServerLeaving, self.on_server_leaving)
        rpc.register(AskSuspects, self.on_ask_suspects)

    @property
    def caught_up(self) -> bool:
        """Whether this host knows the suspect requests, or nobody told it."""
        if self.told_suspects or self.is_fleet_starting:
            return True
        return self.clock() - self.started_at >= CATCH_UP_TIMEOUT_S

    @property
    def is_fleet_starting(self) -> bool:
        """Whether no host seems to have run before this one started.

        After a loss of power nobody can tell anything, and to wait for it
        would keep callers waiting. All other seeds have to say so: they are in
        several failure domains.
        """
        if len(self.starting_hosts) < MIN_STARTING_HOSTS:
            return False
        return all(seed in self.starting_hosts for seed in self.other_seeds)

    @property
    def other_seeds(self) -> list[Address]:
        """The seeds without this host."""
        own = self.member_list.own.address
        return [seed for seed in self.seeds if seed != own]

    @property
    def is_view_unknown(self) -> bool:
        """Whether the hosts that were asked had no view to tell."""
        return len(self.hosts_without_view) >= MIN_HOSTS_WITHOUT_VIEW

    @Service.task
    async def catch_up(self) -> None:
        """Asks all seeds for suspect requests, since any may be gone."""
        await gather(
            *(
                run_logged('suspects', self.ask_seed(seed))
                for seed in self.other_seeds
            )
        )

    async def ask_seed(self, seed: Address) -> None:
        """Asks a seed for suspect requests until it replies.

        One that starts at the same time refuses connections at first.

        Args:
            seed: IP address and port of the seed.
        """
        while not self.caught_up and seed not in self.starting_hosts:
            await self.fetch_suspects(seed)
            await self.sleep(SEED_RETRY_S)

    @Service.task
    async def greet_seeds(self) -> None:
        """Sends a `Hello` to the seeds until enough hosts are known.

        Not every seed is contacted, since in a large fleet the member list in
        each reply is long.
        """
        rounds = 0
        while not self.should_stop:
            seeds = self.other_seeds
            self.random.shuffle(seeds)
            for seed in seeds:
                # More than two other hosts for each seed.
                enough = len(self.member_list.states) > 2 * len(seeds) + 1
                if seed in self.contacted or enough:
                    continue
                work = self.send_hello(seed)
                self.add_future(run_logged('greeting', work))
                await self.sleep(SEED_STAGGER_S)
            await self.sleep(
                doubled(FIRST_SEED_INTERVAL_S, rounds, SEED_INTERVAL_S)
            )
            rounds += 1

    @Service.task
    async def compare_members(self) -> None:
        """Compares the member list with one random host at a time."""
        round_number = 0
        while not self.should_stop:
            interval_s = doubled(
                FIRST_COMPARE_INTERVAL_S, round_number, COMPARE_INTERVAL_S
            )
            await self.sleep(interval_s * self.random.uniform(0.8, 1))
            round_number += 1
            with logged_errors('comparison'):
                await self.compare_once(round_number)

    async def compare_once(self, round_number: int) -> None:
        """Compares the member list with one random host, if there is one.

        Args:
            round_number: Number of the comparison.
        """
        member = self.choose_peer(round_number)
        if member is None:
            return
        message = Compare(
            self.member_list.digest(),
            self.member_list.own,
            self.suspects.digest(),
        )
        reply = await self.rpc.call(member.address, message, CALL_TIMEOUT_S)
        if isinstance(reply, Unreachable):
            self.member_list.back_off(member.name, self.clock())
        elif isinstance(reply, Members):
            self.merge_members(member, reply.members)

    def merge_members(
        self, member: Member, members: tuple[Member, ...]
    ) -> None:
        """Adds the hosts that another one knows, and tells it those it lacks.

        What this host learns from another failure domain it announces.
        """
        added = self.add_members(members)
        if member.failure_domain != self.member_list.own.failure_domain:
            self.announce(added)
        known = set(members)
        lacking = [m for m in self.member_list.members() if m not in known]
        if lacking:
            self.rpc.send(member, Members(tuple(lacking)))

    def choose_peer(self, round_number: int) -> Member | None:
        """Returns the random host for one comparison; None if there is none.

        It is one of a few neighbours in this failure domain, which each host
        ranks in an order of its own. A relay compares with another failure
        domain now and then, and each time while there are suspect requests: a
        domain that was cut off as a whole learns of them from no host of its
        own.

        Args:
            round_number: Number of the comparison.
        """
        own = self.member_list.own
        own_domain = own.failure_domain
        ranked = self.member_list.ranked_members(
            f'neighbours/{own.name}', own_domain, self.clock()
        )
        others = [member for member in ranked if member.name != own.name]
        del others[MAX_NEIGHBOURS:]
        cross = round_number % CROSS_DOMAIN_EVERY == 0
        if (cross or self.suspects.digest()) and self.is_relay:
            others = [
                member
                for member in self.member_list.other_members()
                if member.failure_domain != own_domain
            ] or others
        return self.random.choice(others) if others else None

    async def send_hello(self, address: Address) -> bool:
        """Sends a `Hello`, and asks for what this host lacks.

        That is a snapshot if the view isn't usable, and the suspect requests
        until another host has told all, however late it is reached.

        Args:
            address: IP address and port of the other host.

        Returns:
            Whether the host replied.
        """
        message = Hello(self.member_list.own)
        reply = await self.rpc.call(address, message, CALL_TIMEOUT_S)
        if isinstance(reply, Unreachable):
            return False
        if isinstance(reply, Members):
            self.add_members(reply.members)
        self.contacted[address] = True
        if not self.told_suspects:
            await self.fetch_suspects(address)
        if not self.view.usable and self.is_snapshot_source(address):
            self.request_snapshot(address)
        return True

    def is_snapshot_source(self, address: Address) -> bool:
        """Returns whether a host that has replied is to tell its view.

        One of the own failure domain is, since views are large; one of
        another domain only while no other host of the own one is known.
        """
        own = self.member_list.own
        others = self.member_list.other_members(own.failure_domain)
        return not others or any(m.address == address for m in others)

    def add_members(self, members: tuple[Member, ...]) -> list[Member]:
        """Adds hosts, greets the relays among the new ones, returns these."""
        added = self.member_list.add(members)
        for member in added:
            LOG.info(
                'host known',
                extra={
                    'peer': member.name,
                    'hosts': len(self.member_list.states),
                },
            )
        if added:
            self.greet_relays()
        return added

    def greet_relays(self) -> None:
        """Greets the first hosts in the order of relays, unless it has.

        They tell the others of this failure domain, and the first one tells
        the fleet. One that doesn't respond is replaced by the next in order.
        """
        ranked = self.member_list.ranked_states(
            'relay', self.member_list.own.failure_domain, by_capacity=True
        )
        members = [
            state.member
            for state in ranked
            if state.member.name != self.member_list.own.name
            and self.greetings.get(state.member) is not False
        ]
        for member in members[:MAX_GREETED]:
            if member not in self.greetings:
                self.greetings[member] = True
                work = self.greet_relay(member)
                self.add_future(run_logged('greeting', work))

    async def greet_relay(self, member: Member) -> None:
        """Greets a host, and another one in its place if it is silent.

        The view then comes from another failure domain, since all hosts of
        this one may be gone.
        """
        if await self.send_hello(member.address):
            return
        self.greetings[member] = False
        self.greet_relays()
        if self.contacted and not self.view.usable:
            self.request_snapshot(self.random.choice(sorted(self.contacted)))

    def request_snapshot(self, address: Address) -> None:
        """Starts to fetch another host's view in the background.

        While another one is on its way, it is fetched only if something is
        still lacking afterwards.
        """
        waiting = self.snapshot_source is not None
        self.snapshot_source = address
        if not waiting and not self.fetching_snapshot:
            work = self.fetch_snapshots()
            self.add_future(run_logged('snapshot', work))

    async def fetch_snapshots(self) -> None:
        """Fetches views, one at a time, until nothing is lacking."""
        self.fetching_snapshot = True
        try:
            while self.snapshot_source is not None:
                address, self.snapshot_source = self.snapshot_source, None
                await self.fetch_snapshot(address)
                if self.view.usable and not self.view.has_gap:
                    self.snapshot_source = None
        finally:
            self.snapshot_source = None
            self.fetching_snapshot = False

    async def fetch_snapshot(self, address: Address) -> None:
        """Asks another host for the part of its view that this one lacks.

        Logs `view not told` if no snapshot arrives.
        """
        request = AskSnapshot(self.view.revision, self.view.version)
        reply = await self.rpc.call(address, request, SNAPSHOT_TIMEOUT_S)
        if isinstance(reply, Snapshot):
            if not reply.revision:
                self.hosts_without_view[address] = True
            applied = self.view.merge(reply, self.clock())
            self.on_events(applied, 'host')
            return
        LOG.info(
            'view not told',
            extra={'revision': request.since, 'version': request.version},
        )

    async def fetch_suspects(self, address: Address) -> None:
        """Asks another host for all suspect requests.

        Args:
            address: IP address and port of the other host.
        """
        reply = await self.rpc.call(address, AskSuspects(), CALL_TIMEOUT_S)
        if not isinstance(reply, KnownSuspects):
            return
        now = self.clock()
        for summary in reply.records:
            self.suspects.merge(summary, now)
        if not reply.complete:
            self.starting_hosts[address] = True
        if reply.complete and not self.told_suspects:
            self.told_suspects = True
            LOG.info(
                'suspects told',
                extra={
                    'records': len(reply.records),
                    'waited_ms': round(1_000 * (now - self.started_at), 1),
                },
            )

    async def on_ask_suspects(
        self, message: AskSuspects, sender: str
    ) -> KnownSuspects:
        """Replies with all suspect requests."""
        records = self.suspects.shared_summaries(self.clock())
        return KnownSuspects(records, self.caught_up)

    async def on_hello(self, message: Hello, sender: str) -> Members:
        """Adds the sender, announces it if new, and sends all members."""
        self.add_sender(message.member)
        return Members(self.member_list.members())

    def add_sender(self, member: Member) -> None:
        """Adds a host, and announces it if it is new."""
        self.announce(self.add_members((member,)))

    def announce(self, members: list[Member]) -> None:
        """Announces new hosts, together with those that follow soon."""
        waiting = bool(self.newcomers)
        self.newcomers += members
        if self.newcomers and not waiting:
            work = self.announce_newcomers()
            self.add_future(run_logged('announcement', work))

    async def announce_newcomers(self) -> None:
        """Announces the new hosts after `ANNOUNCE_DELAY_S`.

        A relay and a seed announce them to the whole fleet, another host only
        to its own failure domain.
        """
        await self.sleep(ANNOUNCE_DELAY_S)
        members, self.newcomers = tuple(self.newcomers), []
        update = Members(members)
        if self.is_relay or self.member_list.own.address in self.seeds:
            self.broadcast(update)
        else:
            self.broadcast_in_domain(update)

    async def on_members(self, message: Members, sender: str) -> None:
        """Adds hosts that another host announced."""
        self.add_members(message.members)
        self.relay(message)

    async def on_compare(
        self, message: Compare, sender: str
    ) -> Members | Pong:
        """Adds the sender; replies with all members if the digests differ.

        Suspect requests are sent to it if theirs differ.
        """
        self.add_sender(message.member)
        if message.suspects != self.suspects.digest():
            self.send_suspects(message.member)
        if message.digest == self.member_list.digest():
            return Pong()
        return Members(self.member_list.members())

    def send_suspects(self, member: Member, *, final: bool = False) -> None:
        """Sends all suspect requests to a host that lacks some.

        Args:
            member: The other host.
            final: Whether the other host is not to reply with its own, but to
                tell its failure domain if that is another one.
        """
        records = self.suspects.shared_summaries(self.clock())
        if not final:
            self.rpc.send(member, Suspects(records, self.suspects.digest()))
            return
        own_domain = self.member_list.own.failure_domain
        relay = member.failure_domain != own_domain
        self.rpc.send(member, Suspects(records, relay=relay))

    async def on_ping(self, message: Ping, sender: str) -> Pong:
        """Replies that this host is reachable."""
        return Pong()

    async def on_leaving(self, message: Leaving, sender: str) -> None:
        """Marks a host that announced that it stops."""
        self.member_list.mark_leaving(message.name, message.started_ms)
        self.relay(message)
        LOG.info('host leaving', extra={'peer': message.name})

    def report_server_leaving(self, name: str, started_ms: int) -> None:
        """Records and broadcasts that a server said that it leaves.

        Args:
            name: The server's name.
            started_ms: Unix milliseconds of the server's start.
        """
        announced = self.view.announced_leaving
        known_before = announced.get(name) == started_ms
        applied = self.view.record_leaving(name, started_ms)
        if applied:
            self.on_events(applied, 'server')
        if announced.get(name) == started_ms and not known_before:
            self.broadcast(ServerLeaving(name, started_ms))

    async def on_server_leaving(
        self, message: ServerLeaving, sender: str
    ) -> None:
        """Records what a server said to another host and passes it on."""
        applied = self.view.record_leaving(message.name, message.started_ms)
        self.on_events(applied, sender)
        self.relay(message)

    async def on_ask_snapshot(
        self, message: AskSnapshot, sender: str
    ) -> Snapshot:
        """Replies with the part of the view that the other host lacks."""
        return self.view.snapshot(
            self.clock(), since=message.since, version=message.version
        )

    async def on_news(self, message: News, sender: str) -> None:
        """Applies an update from the host that reads the store.

        If the update doesn't continue from this view, its events are applied
        all the same, and a snapshot from the sender fills the gap. An update
        holds all evacuations, unless it is from a host of an older build or
        has passed through one.
        """
        now = self.clock()
        synced_at = now - message.age_s
        until = message.evacuations_until
        has_gap = message.since > self.view.revision
        events, inapplicable = self.decode_events(message)
        events += self.view.evacuations.events_of_list(
            message.evacuations, until
        )
        has_gap = has_gap or inapplicable
        applied = self.view.apply_events(events, now)
        if has_gap:
            self.view.record_gap(message.revision)
            self.view.evacuations.advance(until, synced_at)
        else:
            self.view.advance(
                message.revision, synced_at, evacuations_until=until
            )
        self.relay(message)
        self.on_events(applied, sender)
        self.on_store_reader(message.reader)
        if has_gap:
            state = self.member_list.states.get(sender)
            if state is not None:
                self.request_snapshot(state.member.address)

    def decode_events(self, message: News) -> tuple[list[StoreEvent], bool]:
        """Converts an update to events.

        Returns:
            The events, and whether the update held a change whose base is not
            the version of this view's configuration.
        """
        events: list[StoreEvent] = []
        inapplicable = False
        for event in message.events:
            if isinstance(event, PackedConfiguration):
                events += self.view.events_of_packed(event)
            elif isinstance(event, ConfigurationChange):
                decoded = self.view.events_of_change(event)
                inapplicable = inapplicable or decoded is None
                events += decoded or []
            else:
                events.append(event)
        return events, inapplicable

    def broadcast(self, message: BroadcastMessage) -> None:
        """Sends a message to every host.

        It goes to each host of the own failure domain and to the relay of each
        other domain, which passes it on, so that it crosses to each domain
        only once.
        """
        self.broadcast_in_domain(message)
        relayed = replace(message, relay=True)
        now = self.clock()
        relays: list[Member] = []
        for domain in self.member_list.failure_domains():
            if domain != self.member_list.own.failure_domain:
                relays += self.member_list.ranked_members(
                    'relay', domain, now, by_capacity=True
                )[:1]
        self.rpc.send_all(relays, relayed)

    def broadcast_in_domain(self, message: BroadcastMessage) -> None:
        """Sends a message to the other hosts of the own failure domain."""
        unrelayed = replace(message, relay=False)
        own = self.member_list.own.failure_domain
        self.rpc.send_all(self.member_list.other_members(own), unrelayed)

    def relay(self, message: BroadcastMessage) -> None:
        """Passes a message on in this domain if the sender asked for it."""
        if message.relay:
            self.broadcast_in_domain(message)

    @property
    def is_relay(self) -> bool:
        """Whether this host passes on messages from other failure domains."""
        own = self.member_list.own
        ranking = self.member_list.ranked_members(
            'relay', own.failure_domain, self.clock(), by_capacity=True
        )
        return bool(ranking) and ranking[0].name == own.name

    def publish(self, result: ReadResult) -> None:
        """Broadcasts what this host has read from the store.

        Evacuations aren't among the events, which hosts of older builds have
        to decode.
        """
        age_s = round(self.clock() - self.view.synced_at, 4)
        events: list[NewsEvent] = []
        for event in result.updates:
            if isinstance(event, EvacuationChanged):
                continue
            if not isinstance(event, ConfigurationUpdated):
                events.append(event)
            elif update := self.configuration_update():
                events.append(update)
        message = News(
            result.since,
            result.revision,
            age_s,
            tuple(events),
            self.member_list.own.name,
            relay=False,
            evacuations=tuple(self.view.evacuations.changes.values()),
            evacuations_until=self.view.evacuations.known_until,
        )
        self.broadcast(message)

    def configuration_update(
        self,
    ) -> ConfigurationChange | PackedConfiguration | None:
        """Returns the change of the configuration, or all of it.

        All of it, compressed, if the change is not known or has so many routes
        that it, being uncompressed, would be larger. A host to whose version a
        change doesn't apply asks for a snapshot.
        """
        change = self.view.configuration_change()
        if change is not None and len(change.routes) <= MAX_ROUTES_PER_CHANGE:
            return change
        return self.view.packed_configuration()

    def announce_leaving(self) -> None:
        """Broadcasts that this host stops, and stops coordinating."""
        own = self.member_list.own
        self.member_list.mark_leaving(own.name, own.started_ms)
        self.broadcast(Leaving(own.name, own.started_ms))
