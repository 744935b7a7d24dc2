"""Chooses servers by leases from the homes of their service."""

from collections.abc import Callable
from collections.abc import Iterator
from itertools import count
from math import ceil
from random import Random

from mode import Service as ModeService
from msgspec.structs import replace

from cowslipmill.choice.chooser import Demand
from cowslipmill.choice.server import Server
from cowslipmill.document.document import Service
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.rules import Rules
from cowslipmill.homes.desk import Desk
from cowslipmill.homes.grantor import Grantor
from cowslipmill.homes.home import Home
from cowslipmill.homes.lease import Report
from cowslipmill.homes.lease import Ticket
from cowslipmill.homes.messages import LeaseGranted
from cowslipmill.homes.messages import LeaseRefused
from cowslipmill.homes.metrics import ACQUIRED
from cowslipmill.homes.placement import choose_first
from cowslipmill.homes.ramp import Ramp
from cowslipmill.homes.source import LocalSource
from cowslipmill.homes.source import RemoteSource
from cowslipmill.homes.source import Source
from cowslipmill.homes.source import UNUSED
from cowslipmill.hosts.fact import Fact
from cowslipmill.hosts.member import Member
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason

NO_SERVER = NotRun(Reason.NO_SERVER, 1_000)
OVERLOADED = NotRun(Reason.OVERLOADED, 1_000)


class LeasedServer:
    """A server at which this entry holds a lease.

    Attributes:
        server: The server.
        source: Where the lease comes from.
        service: The service's name.
        ticket: The ticket that was granted.
    """

    __slots__ = ('server', 'service', 'source', 'ticket')

    def __init__(
        self, server: Server, source: Source, service: str, ticket: Ticket
    ) -> None:
        """Keeps the parts."""
        self.server = server
        self.source = source
        self.service = service
        self.ticket = ticket

    def release(self, report: Report) -> None:
        """Gives the lease back."""
        self.source.release(self.service, self.ticket, report)


class HomeChooser(ModeService):
    """Asks a home for a lease, and goes on alone when none is in reach.

    Attributes:
        name: Name of this entry.
        failure_domain: Where this entry is.
        rules: What is in force.
        owned: Homes of this entry.
        alone: Bounded shares of all servers, for use without a home.
        remote: Homes of other entries by their name and incarnation.
    """

    def __init__(
        self,
        name: str,
        rules: Rules,
        peering: Peering,
        clock: Callable[[], float],
        random: Random,
        *,
        failure_domain: str = '',
    ) -> None:
        """Makes the parts; nothing starts yet."""
        super().__init__()
        self.name = name
        self.failure_domain = failure_domain
        self.rules = rules
        self.peering = peering
        self.clock = clock
        self.random = random
        self.owned = LocalSource(Grantor(clock, random), 'local')
        self.alone = LocalSource(Grantor(clock, random), 'alone')
        self.remote: dict[tuple[str, int], RemoteSource] = {}
        self.ramp = Ramp()
        self.desk = Desk(self.owned.grantor, peering)
        self.numbers = count(1)

    async def on_start(self) -> None:
        """Starts the homes."""
        await self.add_runtime_dependency(self.owned.grantor)
        await self.add_runtime_dependency(self.alone.grantor)

    async def acquire(self, demand: Demand) -> LeasedServer | NotRun:
        """Returns a leased server, or why there is none."""
        service = demand.route.service
        pool = self.rules.pools.get(service)
        # A newer document may have dropped the service meanwhile.
        if pool is None or not pool.servers:
            return NO_SERVER
        refusal = OVERLOADED
        for source, may_wait in self.sources(service, demand.may_wait):
            ticket = self.make_ticket(demand, may_wait)
            reply = await source.acquire(service, ticket)
            ACQUIRED.labels(source.label, type(reply).__name__).inc()
            if isinstance(reply, LeaseGranted):
                server = pool.servers.get(reply.server)
                if server is not None:
                    return LeasedServer(server, source, service, ticket)
                # The home has not yet heard that the server left.
                source.release(service, ticket, UNUSED)
            if isinstance(reply, LeaseRefused):
                refusal = NotRun(reply.reason, reply.retry_after_ms)
                if reply.reason is Reason.OVERLOADED and ticket.may_wait:
                    return refusal
        return refusal

    def make_ticket(self, demand: Demand, may_wait: bool) -> Ticket:
        """Returns a new ticket for a demand."""
        return Ticket(
            key=(self.name, next(self.numbers)),
            caller=demand.caller,
            priority=demand.route.priority,
            idempotent=demand.route.idempotent,
            deadline_at=demand.deadline_at,
            excluded=demand.excluded,
            may_wait=may_wait,
        )

    def sources(
        self, service: str, may_wait: bool
    ) -> Iterator[tuple[Source, bool]]:
        """Yields the sources to ask in turn, and whether to wait there.

        A home whose servers are all busy passes an entry on to the others
        before the entry waits at the first. Alone it goes only if no home
        was in reach.
        """
        homes = self.order_homes(service)
        for home in homes[1:] and homes:
            yield home, False
        if may_wait or len(homes) == 1:
            yield from ((home, may_wait) for home in homes)
        if may_wait or not homes:
            yield self.alone, may_wait

    def order_homes(self, service: str) -> list[Source]:
        """Returns the homes in reach, the nearest first."""
        now = self.clock()
        placement = self.rules.placements[service]
        homes = []
        sources: list[Source] = []
        for home in placement.homes:
            source = self.find_source(home)
            if isinstance(source, RemoteSource):
                if source.avoided_until > now:
                    continue
            homes.append(home)
            sources.append(source)
        if len(homes) < 2:
            return sources
        weights = [len(placement.servers[home.name]) for home in homes]
        first = choose_first(homes, weights, self.failure_domain, self.random)
        return sources[first:] + sources[:first]

    def find_source(self, home: Member) -> Source:
        """Returns the source of a home."""
        if home.name == self.name:
            return self.owned
        key = (home.name, home.incarnation)
        source = self.remote.get(key)
        if source is None:
            source = RemoteSource(home.peer_address, self.peering, self.clock)
            self.remote[key] = source
        return source

    def refresh(self, service: str) -> None:
        """Sets the servers of this entry's homes of a service."""
        settings = self.rules.services[service]
        for home in self.rules.placements[service].homes:
            if home.name != self.name:
                self.peering.open(home.peer_address)
        facts = [s.fact for s in self.rules.pools[service].servers.values()]
        ramps = self.ramp.update(service, facts, self.clock())
        owned = self.rules.placements[service].servers.get(self.name, ())
        self.replace(
            self.owned.grantor,
            settings,
            [(fact, ramps[fact.name]) for fact in owned],
        )
        slots = settings.slots_per_server
        members = self.rules.largest.count
        share = replace(settings, slots_per_server=ceil(slots / members))
        self.replace(
            self.alone.grantor,
            share,
            [(fact, ramps[fact.name]) for fact in facts],
            max_leases=ceil(slots * len(facts) / members),
        )

    def replace(
        self,
        grantor: Grantor,
        settings: Service,
        servers: list[tuple[Fact, float]],
        *,
        max_leases: int | None = None,
    ) -> None:
        """Sets the servers of one home."""
        home = grantor.homes.get(settings.name)
        if home is None:
            home = grantor.homes[settings.name] = Home(settings)
        home.max_leases = max_leases
        now = self.clock()
        grantor.deliver(home.replace(settings, servers, now, self.random))
