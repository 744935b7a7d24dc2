"""Acquires and releases leases, on this host or from other hosts."""

from asyncio import sleep
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from itertools import count
from itertools import islice
from random import Random

from msgspec.structs import replace

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import AskLease
from cowslipmill.fleet.messages import CancelLease
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.leasing.coordinator import Coordinator
from cowslipmill.leasing.coordinator import Reply
from cowslipmill.leasing.grantlimits import GrantLimits
from cowslipmill.leasing.leaseclient import LeaseClient
from cowslipmill.leasing.leaserequest import EVACUATED
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import NO_PATH
from cowslipmill.leasing.leaserequest import OUT_OF_SERVICE
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.prober import Prober
from cowslipmill.leasing.ratelimits import RateLimits
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.leasing.scheduler import NO_SERVER_RETRY_AFTER_S
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.serverpauses import ServerPauses
from cowslipmill.leasing.warmup import COLD_SERVERS
from cowslipmill.paths.pathchecker import PathChecker
from cowslipmill.runtime.names import BoundedDict
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.view import View

# Coordinators on other hosts that are tried for one request before this host
# acts as the coordinator.
MAX_COORDINATORS_TRIED = 2
# Coordinators that are tried for one request since those before reach no
# server: so many in the servers' failure domain and so many in the others.
MAX_COORDINATORS_WITHOUT_PATH = 6
# Time for which a coordinator that reaches no server isn't asked again.
NO_PATH_BACKOFF_S = 0.5
# Coordinators of services and failure domains, each of some kilobytes.
MAX_COORDINATORS = 1_024


class LeaseManager:
    """Acquires leases from the coordinator of a service, here or elsewhere.

    Attributes:
        coordinators: This host's coordinators by service and failure domain.
        synced_generations: Generation of the view by which the servers of
            each coordinator were last set.
        request_numbers: Numbers for lease keys; they begin at this process's
            start in Unix microseconds, so that they differ from those of
            earlier processes.
        view: The servers and the configuration in force.
        member_list: The hosts known.
        rpc: Calls between hosts.
        prober: Probes servers for their load.
        rate_limits: The rate limits that servers name.
        grant_limits: Limits the grants of this host's coordinators.
        pauses: Servers that want nothing from this host for a time.
        checker: Checks the paths to servers.
        client: Requests leases from coordinators on other hosts.
        no_path_until: Until when coordinators that reach no server aren't
            asked, in monotonic seconds, by host, service and failure domain.
    """

    def __init__(
        self,
        view: View,
        member_list: MemberList,
        rpc: Rpc,
        prober: Prober,
        checker: PathChecker,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Registers the handlers of lease messages."""
        self.view = view
        self.member_list = member_list
        self.rpc = rpc
        self.prober = prober
        self.checker = checker
        self.no_path_until: dict[tuple[str, str, str], float] = BoundedDict()
        self.rate_limits: RateLimits = prober.rate_limits
        self.grant_limits = GrantLimits(view, member_list, self.rate_limits)
        self.pauses: ServerPauses = prober.pauses
        self.client = LeaseClient(
            member_list,
            rpc,
            clock,
            self.release_late,
            view.evacuations.is_active,
        )
        self.clock = clock
        self.random = random
        self.coordinators: dict[tuple[str, str], Coordinator] = {}
        self.synced_generations: dict[tuple[str, str], int] = {}
        self.request_numbers = count(member_list.own.started_ms * 1000)
        rpc.register(AskLease, self.on_ask_lease)
        rpc.register(CancelLease, self.on_cancel_lease)
        rpc.register(Report, self.on_report)

    @property
    def domain(self) -> str:
        """This host's failure domain."""
        return self.member_list.own.failure_domain

    def local_coordinator(
        self, service: str, failure_domain: str
    ) -> Coordinator:
        """Returns this host's coordinator, with the servers in the view."""
        key = (service, failure_domain)
        coordinator = self.coordinators.get(key)
        if coordinator is None:
            self.forget_idle_coordinators()
            coordinator = Coordinator(
                SlotScheduler(failure_domain),
                self.prober,
                lambda: self.reaches_servers(service, failure_domain),
                self.acquire_from_others,
                self.release_unused,
                self.clock,
                self.random,
            )
            self.coordinators[key] = coordinator
        if self.synced_generations.get(key) != self.view.generation:
            self.synced_generations[key] = self.view.generation
            self.update_servers(coordinator, service, failure_domain)
        self.grant_limits.apply(
            coordinator.scheduler, service, failure_domain, self.clock()
        )
        if self.pauses.known:
            for server in coordinator.scheduler.servers.values():
                server.pause(self.pauses.ends_at(server.record))
        return coordinator

    def forget_idle_coordinators(self) -> None:
        """Drops those of unknown services once there are many.

        A service is unknown if it isn't in the configuration any more, or if
        only another host has named it.
        """
        if len(self.coordinators) < MAX_COORDINATORS:
            return
        for key, coordinator in list(self.coordinators.items()):
            if key[0] not in self.view.services and not coordinator.waiters:
                del self.coordinators[key]
                self.synced_generations.pop(key, None)
                self.grant_limits.warm_up_limits.pop(key, None)

    def update_servers(
        self, coordinator: Coordinator, service: str, failure_domain: str
    ) -> None:
        """Sets a coordinator's servers and health path by the view.

        The servers of an evacuated failure domain stay as they are, so that
        requests in progress there count when the evacuation ends.
        """
        if self.view.evacuations.is_active(failure_domain):
            return
        now = self.clock()
        servers = self.view.available_servers(service)
        coordinator.scheduler.set_servers(
            (
                (entry.record_at(now), entry.missing_since is not None)
                for entry in servers
                if entry.record.failure_domain == failure_domain
            ),
            now,
        )
        coordinator.scheduler.other_domains_available = (
            failure_domain == self.domain
            and any(
                entry.record.failure_domain != failure_domain
                for entry in servers
            )
        )
        configuration = self.view.configuration
        coordinator.scheduler.weighs_cost = configuration is not None and any(
            route.bulk for route in configuration.routes
        )
        service_settings = self.view.services.get(service)
        if service_settings is not None:
            coordinator.health_path = service_settings.health_path

    def update_metrics(self) -> None:
        """Sets the gauge to the cold servers of this host's coordinators."""
        now = self.clock()
        COLD_SERVERS.set(
            sum(
                server.warm_up.is_cold(now)
                for coordinator in self.coordinators.values()
                for server in coordinator.scheduler.servers.values()
            )
        )

    async def acquire(self, requirements: Requirements) -> Grant | Refusal:
        """Acquires a lease for a request.

        Tries the ranked coordinators of the service in its failure domain;
        this host decides itself if it is next in rank, or if those tried are
        unreachable or reach no server. If the domain is evacuated meanwhile,
        or none of its servers responds, the lease is requested in another one.
        """
        unusable: set[str] = set()
        while True:
            # The coordinator asked before may still have others asked for it.
            key = self.make_key()
            domain = self.choose_domain(requirements.service, unusable)
            if domain is None:
                wait_s = NO_SERVER_RETRY_AFTER_S * self.random.uniform(1, 1.5)
                return Refusal(key, 'no server', wait_s, 0)
            reply = await self.acquire_in_domain(key, requirements, domain)
            if not is_domain_unusable(reply):
                return reply
            unusable.add(domain)

    def make_key(self) -> LeaseKey:
        """Returns the key of a new lease request."""
        return self.member_list.own.name, next(self.request_numbers)

    async def acquire_in_domain(
        self, key: LeaseKey, requirements: Requirements, domain: str
    ) -> Grant | Refusal:
        """Acquires a lease in one failure domain, which may be queued.

        Args:
            key: Key of the lease.
            requirements: What the request requires of a server.
            domain: Failure domain whose servers are wanted.
        """
        service = requirements.service
        unreachable = 0
        for member in self.ranked_coordinators(service, domain):
            if member.name == self.member_list.own.name:
                reply: Reply | None = await self.acquire_locally(
                    key, requirements, domain, may_move=True
                )
            else:
                reply = await self.client.acquire(
                    key, requirements, member, domain
                )
            if reply is None:
                unreachable += 1
                if unreachable == MAX_COORDINATORS_TRIED:
                    break
            elif not self.has_no_path(reply, member, service, domain):
                return reply
        return await self.acquire_locally(key, requirements, domain)

    def ranked_coordinators(
        self, service: str, failure_domain: str
    ) -> Iterator[Member]:
        """Yields the hosts that may coordinate servers, best ones first.

        They are those of the servers' failure domain, then of the others, in
        an order in which hosts with the same members agree. Those that are
        known to reach no server are left out.
        """
        now = self.clock()
        for purpose, domain in (
            (service, failure_domain),
            (f'{service}/{failure_domain}', ''),
        ):
            usable = (
                member
                for member in self.member_list.ranked_members(
                    purpose, domain, now, by_capacity=True
                )
                if (domain or member.failure_domain != failure_domain)
                and self.may_have_path(member, service, failure_domain, now)
            )
            yield from islice(usable, MAX_COORDINATORS_WITHOUT_PATH)

    def may_have_path(
        self, member: Member, service: str, failure_domain: str, now: float
    ) -> bool:
        """Returns whether a host is not known to reach no server."""
        if member.name == self.member_list.own.name:
            return self.reaches_servers(service, failure_domain)
        until = self.no_path_until.get((member.name, service, failure_domain))
        return until is None or now >= until

    def has_no_path(
        self, reply: Reply, member: Member, service: str, failure_domain: str
    ) -> bool:
        """Returns whether a coordinator replied that it reaches no server.

        It isn't asked again for some time then.
        """
        if not isinstance(reply, Refusal) or reply.reason != NO_PATH:
            return False
        key = (member.name, service, failure_domain)
        self.no_path_until[key] = self.clock() + NO_PATH_BACKOFF_S
        return True

    def reaches_servers(self, service: str, failure_domain: str) -> bool:
        """Returns whether this host reaches any server over its own links.

        Requests a check of one of them if it doesn't. True if there are none.
        """
        paths = self.checker.paths
        records: list[ServerRecord] = []
        for entry in self.view.available_servers(service):
            if entry.record.failure_domain != failure_domain:
                continue
            if not paths.is_lost(entry.record.address):
                return True
            records.append(entry.record)
        if not records:
            return True
        self.checker.request_check(self.random.choice(records))
        return False

    def choose_domain(
        self, service: str, excluded: Collection[str] = ()
    ) -> str | None:
        """Returns the failure domain in which a lease is requested.

        It is this host's own, unless that has no server of the service or is
        evacuated.

        Args:
            service: The service.
            excluded: Failure domains that aren't wanted, such as those that
                are evacuated as their coordinators already know.

        Returns:
            The failure domain; None if these and evacuations leave none.
        """
        if self.domain not in excluded:
            for entry in self.view.available_servers(service):
                if entry.record.failure_domain == self.domain:
                    return self.domain
        for domain in self.other_domains(service):
            if domain not in excluded:
                return domain
        if excluded or self.view.evacuations.active:
            return None
        return self.domain

    async def acquire_locally(
        self,
        key: LeaseKey,
        requirements: Requirements,
        failure_domain: str,
        *,
        may_move: bool = False,
    ) -> Grant | Refusal:
        """Acquires a lease from this host's own coordinator.

        Args:
            key: Key of the lease.
            requirements: What the request requires of a server.
            failure_domain: Failure domain whose servers are wanted.
            may_move: Whether to refuse with `NO_PATH` if this host reaches
                none of them.

        Returns:
            The decision; a refusal with `EVACUATED` if the failure domain is
            evacuated, or is before there is a decision.
        """
        if self.view.evacuations.is_active(failure_domain):
            return Refusal(key, EVACUATED, 0.0, 0)
        request = LeaseRequest(
            key, requirements, self.clock(), may_move=may_move
        )
        reply = await self.local_coordinator(
            requirements.service, failure_domain
        ).acquire(request)
        if isinstance(reply, Refusal) or reply.coordinator[0]:
            return reply
        try:
            limit = self.rate_limits.report(
                reply.server, reply.started_ms, self.clock()
            )
        except BaseException:
            self.release_unused(request, reply)
            raise
        return replace(reply, limit=limit) if limit else reply

    def paused_servers(self, service: str, now: float) -> list[str]:
        """Returns the servers that want nothing from this host now."""
        if not self.pauses.known:
            return []
        return [
            entry.record.name
            for entry in self.view.available_servers(service)
            if self.pauses.is_paused(entry.record, now)
        ]

    def paused_until(
        self, service: str, excluded: Collection[str], now: float
    ) -> float:
        """Returns when a server of a service takes requests of this host.

        Args:
            service: The service.
            excluded: Servers that aren't wanted.
            now: Monotonic seconds.

        Returns:
            Monotonic seconds; `now` unless all other servers pause.
        """
        if not self.pauses.known:
            return now
        servers = (
            entry.record
            for entry in self.view.available_servers(service)
            if entry.record.name not in excluded
        )
        return self.pauses.paused_until(servers, now)

    def ignores_limit(self, grant: Grant) -> bool:
        """Returns whether a coordinator doesn't know a server's rate limit.

        What the coordinator knows better is learned from the grant; what it
        doesn't know, it learns from the report on the lease.
        """
        now = self.clock()
        limits = self.rate_limits
        if grant.limit is not None:
            limits.learn(grant.server, grant.started_ms, grant.limit, now)
        return limits.is_newer(
            grant.server, grant.started_ms, grant.limit, now
        )

    async def acquire_from_others(
        self, request: LeaseRequest, max_duration_s: float
    ) -> Grant | None:
        """Requests a lease from other failure domains, one after the other.

        Args:
            request: The lease request.
            max_duration_s: Longest expected duration that is accepted.

        Returns:
            The first grant; None if there is none.
        """
        requirements = request.requirements.with_max_duration(max_duration_s)
        for domain in self.other_domains(requirements.service):
            reply = await self.acquire_from_domain(
                request.key, requirements, domain
            )
            if isinstance(reply, Grant):
                return reply
        return None

    def other_domains(self, service: str) -> list[str]:
        """Returns the other failure domains in random order.

        A domain with more slots of the service is likely to come earlier.
        """
        counts: dict[str, int] = {}
        for entry in self.view.available_servers(service):
            domain = entry.record.failure_domain
            if domain != self.domain:
                counts[domain] = counts.get(domain, 0) + entry.record.slots
        return sorted(
            counts,
            key=lambda name: self.random.random() ** (1 / counts[name]),
            reverse=True,
        )

    async def acquire_from_domain(
        self, key: LeaseKey, requirements: Requirements, failure_domain: str
    ) -> Grant | Refusal | None:
        """Requests a lease from one other failure domain.

        If no host is reachable that reaches servers there, this host
        coordinates them.

        Returns:
            The decision; None if the coordinator didn't reply in time.
        """
        service = requirements.service
        candidates = self.ranked_coordinators(service, failure_domain)
        for member in islice(candidates, MAX_COORDINATORS_TRIED):
            if member.name == self.member_list.own.name:
                break
            reply = await self.client.try_acquire(
                key, requirements, member, failure_domain
            )
            if reply is None:
                return None
            if not self.has_no_path(reply, member, service, failure_domain):
                return reply
        return await self.acquire_locally(key, requirements, failure_domain)

    def release_unused(self, request: LeaseRequest, grant: Grant) -> None:
        """Releases a lease that wasn't used."""
        self.release(
            request.requirements.service, grant, LeaseResult.UNUSED, 0.0
        )

    def release_late(self, service: str, grant: Grant) -> None:
        """Releases a lease whose grant came after its request had ended."""
        self.release(service, grant, LeaseResult.UNUSED, 0.0)

    def release(
        self,
        service: str,
        grant: Grant,
        result: LeaseResult,
        duration_s: float,
    ) -> None:
        """Reports to the coordinator that granted a lease how it ended.

        A report for a coordinator that isn't in the member list is dropped.

        Args:
            service: Name of the service.
            grant: The lease.
            result: How it ended.
            duration_s: From the first byte sent to the whole response.
        """
        report = Report(
            key=grant.key,
            service=service,
            failure_domain=grant.failure_domain,
            server=grant.server,
            result=result,
            duration_s=round(duration_s, 4),
            started_ms=grant.started_ms,
            limit=self.rate_limits.report(
                grant.server, grant.started_ms, self.clock()
            ),
        )
        if not grant.coordinator[0]:
            self.local_coordinator(
                service, grant.failure_domain
            ).record_result(report, self.member_list.own.name)
            return
        for member in self.member_list.members():
            if member.address == grant.coordinator:
                self.rpc.send(member, report)
                return

    def coordinator_of(
        self, service: str, failure_domain: str
    ) -> Coordinator | None:
        """Returns this host's coordinator for another host.

        Args:
            service: The service that the other host names.
            failure_domain: The failure domain that it names.

        Returns:
            The coordinator; None if there are too many others.
        """
        if (service, failure_domain) not in self.coordinators:
            self.forget_idle_coordinators()
            if len(self.coordinators) >= MAX_COORDINATORS:
                return None
        return self.local_coordinator(service, failure_domain)

    async def on_ask_lease(self, message: AskLease, sender: str) -> Reply:
        """Decides on the lease request of another host."""
        now = self.clock()
        requirements = Requirements(
            message.service,
            message.route,
            message.priority,
            now + message.objective_s,
            now + message.deadline_s,
            kilobytes=message.kilobytes,
            excluded=message.excluded,
            max_duration_s=message.max_duration_s,
            asked_before_s=max(0.0, message.asked_before_s),
        )
        service, failure_domain = message.service, message.failure_domain
        if not self.reaches_servers(service, failure_domain):
            return Refusal(message.key, NO_PATH, 0.0, 0)
        if self.coordinator_of(service, failure_domain) is None:
            return Refusal(message.key, NO_PATH, 0.0, 0)
        reply = await self.acquire_locally(
            message.key, requirements, message.failure_domain, may_move=True
        )
        if is_evacuated(reply) and requirements.max_duration_s is None:
            grant = await self.acquire_elsewhere(requirements)
            if grant is not None:
                return grant
            # A host of an older build tells its caller this delay.
            wait_s = NO_SERVER_RETRY_AFTER_S * self.random.uniform(1, 1.5)
            assert isinstance(reply, Refusal)
            return replace(reply, retry_after_s=wait_s)
        return reply

    async def acquire_elsewhere(
        self, requirements: Requirements
    ) -> Grant | None:
        """Requests a lease outside an evacuated domain for another host.

        That host may be of an older build, which would refuse the request.
        Each attempt has a key of this host, as the other one may request a
        lease of the same coordinator meanwhile.

        Returns:
            The first grant; None if no server is free at once.
        """
        remaining_s = requirements.deadline_at - self.clock()
        at_once = requirements.with_max_duration(remaining_s)
        tried: set[str] = set()
        while domain := self.choose_domain(at_once.service, tried):
            tried.add(domain)
            key = self.make_key()
            reply = await self.acquire_from_domain(key, at_once, domain)
            if isinstance(reply, Grant):
                # The other host returns a lease to the coordinator named, also
                # if it has cancelled its request meanwhile.
                if reply.coordinator[0]:
                    return reply
                own = self.member_list.own.address
                return replace(reply, coordinator=own)
        return None

    def refuse_queued(self, failure_domain: str) -> None:
        """Refuses what is queued for an evacuated failure domain.

        The hosts that have the requests get other leases for them.
        """
        for (_, domain), coordinator in self.coordinators.items():
            if domain == failure_domain:
                coordinator.refuse_queue(EVACUATED)

    async def on_cancel_lease(self, message: CancelLease, sender: str) -> None:
        """Cancels a queued request, or releases the lease that it got."""
        # Calls that arrived together with this message begin in this turn of
        # the event loop.
        await sleep(0)
        coordinator = self.coordinator_of(
            message.service, message.failure_domain
        )
        if coordinator is None:
            return
        waiter = coordinator.waiters.get(message.key)
        if waiter is not None and not waiter.done():
            waiter.cancel()
        for server in coordinator.scheduler.servers.values():
            server.release(message.key)

    async def on_report(self, message: Report, sender: str) -> None:
        """Records how a lease of this host's coordinator ended."""
        if message.limit is not None:
            self.rate_limits.learn(
                message.server,
                message.started_ms,
                message.limit,
                self.clock(),
            )
        coordinator = self.coordinator_of(
            message.service, message.failure_domain
        )
        if coordinator is not None:
            coordinator.record_result(message, sender)


def is_domain_unusable(reply: Reply) -> bool:
    """Returns whether a coordinator refused for all of its failure domain."""
    if not isinstance(reply, Refusal):
        return False
    return reply.reason in (EVACUATED, OUT_OF_SERVICE)


def is_evacuated(reply: Reply) -> bool:
    """Returns whether a coordinator refused since its domain is evacuated."""
    return isinstance(reply, Refusal) and reply.reason == EVACUATED
