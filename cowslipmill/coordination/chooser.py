"""Chooses servers by leases from the coordinators of their service."""

from collections.abc import Callable
from collections.abc import Iterator
from itertools import count
from math import ceil
from random import Random

from mode import Service as ModeService
from msgspec.structs import replace

from cowslipmill.choice.chooser import ChoiceRequest
from cowslipmill.choice.server import Server
from cowslipmill.coordination.coordinator import EntryCoordinator
from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.coordination.lease import Report
from cowslipmill.coordination.leasemanager import EntryLeaseManager
from cowslipmill.coordination.messages import LeaseGranted
from cowslipmill.coordination.messages import LeaseRefused
from cowslipmill.coordination.metrics import ACQUIRED
from cowslipmill.coordination.placement import choose_first_coordinator
from cowslipmill.coordination.rampstarts import RampStarts
from cowslipmill.coordination.scheduler import EntryScheduler
from cowslipmill.coordination.source import LeaseSource
from cowslipmill.coordination.source import LocalSource
from cowslipmill.coordination.source import RemoteSource
from cowslipmill.coordination.source import UNUSED
from cowslipmill.document.document import Service
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason

NO_SERVER = NotRun(Reason.NO_SERVER, 1_000)
OVERLOADED = NotRun(Reason.OVERLOADED, 1_000)


class LeasedServer:
    """Server on which this entry holds a lease.

    Attributes:
        server: Server to send the request to.
        source: Source that granted the lease.
        service: Name of the service.
        request: Lease request that was granted.
    """

    __slots__ = ('request', 'server', 'service', 'source')

    def __init__(
        self,
        server: Server,
        source: LeaseSource,
        service: str,
        lease_request: EntryLeaseRequest,
    ) -> None:
        """Binds a granted lease to its server."""
        self.server = server
        self.source = source
        self.service = service
        self.request = lease_request

    def release(self, report: Report) -> None:
        """Releases the lease and reports how it was used."""
        self.source.release(self.service, self.request, report)


class LeaseChooser(ModeService):
    """Requests leases from coordinators, or from a local fallback.

    Attributes:
        name: Name of this entry.
        failure_domain: Failure domain of this entry.
        routing_state: Routing state in force.
        local: Leases on servers that this entry coordinates.
        fallback: Leases on a bounded share of all servers, used when no
            coordinator is reachable.
        remote: Coordinators in other entries, by name and incarnation.
        ramp_starts: Start of the ramp-up of each server.
        coordinator: Handler of the lease messages of other entries.
        request_numbers: Numbers for the lease requests of this entry.
    """

    def __init__(
        self,
        name: str,
        routing_state: RoutingState,
        peering: Peering,
        clock: Callable[[], float],
        random: Random,
        *,
        failure_domain: str = '',
    ) -> None:
        """Creates the lease sources without starting them."""
        super().__init__()
        self.name = name
        self.failure_domain = failure_domain
        self.routing_state = routing_state
        self.peering = peering
        self.clock = clock
        self.random = random
        self.local = LocalSource(EntryLeaseManager(clock, random), 'local')
        self.fallback = LocalSource(EntryLeaseManager(clock, random), 'alone')
        self.remote: dict[tuple[str, int], RemoteSource] = {}
        self.ramp_starts = RampStarts()
        self.coordinator = EntryCoordinator(self.local.lease_manager, peering)
        self.request_numbers = count(1)

    async def on_start(self) -> None:
        """Starts the lease managers."""
        await self.add_runtime_dependency(self.local.lease_manager)
        await self.add_runtime_dependency(self.fallback.lease_manager)

    async def acquire(
        self, choice_request: ChoiceRequest
    ) -> LeasedServer | NotRun:
        """Returns a leased server, or the reason why there is none."""
        service = choice_request.route.service
        pool = self.routing_state.pools.get(service)
        # A newer document may have removed the service.
        if pool is None or not pool.servers:
            return NO_SERVER
        refusal = OVERLOADED
        for source, may_wait in self.sources(service, choice_request.may_wait):
            lease_request = self.make_lease_request(choice_request, may_wait)
            reply = await source.acquire(service, lease_request)
            ACQUIRED.labels(source.label, type(reply).__name__).inc()
            if isinstance(reply, LeaseGranted):
                server = pool.servers.get(reply.server)
                if server is not None:
                    return LeasedServer(server, source, service, lease_request)
                # The coordinator does not know yet that the server has left.
                source.release(service, lease_request, UNUSED)
            if isinstance(reply, LeaseRefused):
                refusal = NotRun(reply.reason, reply.retry_after_ms)
                if (
                    reply.reason is Reason.OVERLOADED
                    and lease_request.may_wait
                ):
                    return refusal
        return refusal

    def make_lease_request(
        self, choice_request: ChoiceRequest, may_wait: bool
    ) -> EntryLeaseRequest:
        """Returns a new lease request for an attempt."""
        return EntryLeaseRequest(
            key=(self.name, next(self.request_numbers)),
            caller=choice_request.caller,
            priority=choice_request.route.priority,
            idempotent=choice_request.route.idempotent,
            deadline_at=choice_request.deadline_at,
            excluded=choice_request.excluded,
            may_wait=may_wait,
        )

    def sources(
        self, service: str, may_wait: bool
    ) -> Iterator[tuple[LeaseSource, bool]]:
        """Yields the sources to ask in turn, and whether to wait there.

        With several coordinators, each is asked for a free slot before the
        request waits at the first. The fallback comes last, for the case
        that no coordinator is reachable.
        """
        coordinators = self.order_coordinators(service)
        for coordinator in coordinators[1:] and coordinators:
            yield coordinator, False
        if may_wait or len(coordinators) == 1:
            yield from (
                (coordinator, may_wait) for coordinator in coordinators
            )
        if may_wait or not coordinators:
            yield self.fallback, may_wait

    def order_coordinators(self, service: str) -> list[LeaseSource]:
        """Returns the sources of reachable coordinators, the nearest first."""
        now = self.clock()
        placement = self.routing_state.placements[service]
        coordinators = []
        sources: list[LeaseSource] = []
        for coordinator in placement.coordinators:
            source = self.find_source(coordinator)
            if isinstance(source, RemoteSource):
                if source.avoided_until > now:
                    continue
            coordinators.append(coordinator)
            sources.append(source)
        if len(coordinators) < 2:
            return sources
        weights = [
            len(placement.servers_by_coordinator[coordinator.name])
            for coordinator in coordinators
        ]
        first = choose_first_coordinator(
            coordinators, weights, self.failure_domain, self.random
        )
        return sources[first:] + sources[:first]

    def find_source(self, coordinator: Member) -> LeaseSource:
        """Returns the lease source of a coordinator."""
        if coordinator.name == self.name:
            return self.local
        key = (coordinator.name, coordinator.incarnation)
        source = self.remote.get(key)
        if source is None:
            source = RemoteSource(
                coordinator.peer_address, self.peering, self.clock
            )
            self.remote[key] = source
        return source

    def refresh(self, service: str) -> None:
        """Updates the servers of a service in the schedulers of this entry."""
        settings = self.routing_state.services[service]
        for coordinator in self.routing_state.placements[service].coordinators:
            if coordinator.name != self.name:
                self.peering.open(coordinator.peer_address)
        records = [
            s.record
            for s in self.routing_state.pools[service].servers.values()
        ]
        ramps = self.ramp_starts.update(service, records, self.clock())
        owned = self.routing_state.placements[
            service
        ].servers_by_coordinator.get(self.name, ())
        self.set_servers(
            self.local.lease_manager,
            settings,
            [(record, ramps[record.name]) for record in owned],
        )
        slots = settings.slots_per_server
        members = self.routing_state.largest_membership.count
        share = replace(settings, slots_per_server=ceil(slots / members))
        self.set_servers(
            self.fallback.lease_manager,
            share,
            [(record, ramps[record.name]) for record in records],
            max_leases=ceil(slots * len(records) / members),
        )

    def set_servers(
        self,
        lease_manager: EntryLeaseManager,
        settings: Service,
        servers: list[tuple[NodeRecord, float]],
        *,
        max_leases: int | None = None,
    ) -> None:
        """Sets the servers of one scheduler."""
        scheduler = lease_manager.schedulers.get(settings.name)
        if scheduler is None:
            scheduler = lease_manager.schedulers[settings.name] = (
                EntryScheduler(settings)
            )
        scheduler.max_leases = max_leases
        now = self.clock()
        lease_manager.resolve_waiters(
            scheduler.set_servers(settings, servers, now, self.random)
        )
