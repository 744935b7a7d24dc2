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
from cowslipmill.leasing.leaseclient import LeaseClient
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import NO_PATH
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.prober import Prober
from cowslipmill.leasing.ratelimits import COORDINATOR_SHARES
from cowslipmill.leasing.ratelimits import MIN_LIMIT_PER_S
from cowslipmill.leasing.ratelimits import RateLimits
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.serverpauses import ServerPauses
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
        self.pauses: ServerPauses = prober.pauses
        self.client = LeaseClient(member_list, rpc, clock, self.release_late)
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
        if self.rate_limits.known:
            self.apply_rate_limits(coordinator, service, failure_domain)
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

    def apply_rate_limits(
        self, coordinator: Coordinator, service: str, failure_domain: str
    ) -> None:
        """Limits the grants of a coordinator to its share of the limits."""
        share, max_tokens = self.coordinator_share(service, failure_domain)
        now = self.clock()
        for server in coordinator.scheduler.servers.values():
            per_s = self.rate_limits.per_s(
                server.name, server.record.started_ms
            )
            if per_s is not None:
                per_s = share * max(MIN_LIMIT_PER_S, per_s)
            server.limit_rate(per_s, max_tokens, now)

    def coordinator_share(
        self, service: str, failure_domain: str
    ) -> tuple[float, float]:
        """Returns this host's share of the limits of a service's servers.

        It depends on the rank of this host alone, not on which hosts it can
        reach, so that hosts with the same members never use more together
        than all shares.

        Returns:
            The share, and the number of requests that may be saved up.
        """
        ranked = self.member_list.ranked_states(
            service, failure_domain, by_capacity=True
        )
        if not ranked:
            ranked = self.member_list.ranked_states(
                service, '', by_capacity=True
            )
        for portion, state in zip(COORDINATOR_SHARES, ranked, strict=False):
            if state.member.name == self.member_list.own.name:
                return portion
        if ranked:
            return 0.0, 0.0
        # All hosts are leaving, and each one coordinates for itself.
        share, _ = COORDINATOR_SHARES[0]
        return share / len(self.member_list.states), 1.0

    def update_servers(
        self, coordinator: Coordinator, service: str, failure_domain: str
    ) -> None:
        """Sets a coordinator's servers and health path by the view."""
        servers = self.view.available_servers(service)
        coordinator.scheduler.set_servers(
            (
                (entry.record, entry.missing_since is not None)
                for entry in servers
                if entry.record.failure_domain == failure_domain
            ),
            self.clock(),
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

    async def acquire(self, requirements: Requirements) -> Grant | Refusal:
        """Acquires a lease for a request.

        Tries the ranked coordinators of the service in its failure domain;
        this host decides itself if it is next in rank, or if those tried are
        unreachable or reach no server.
        """
        key: LeaseKey = (self.member_list.own.name, next(self.request_numbers))
        service = requirements.service
        domain = self.choose_domain(service)
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

    def choose_domain(self, service: str) -> str:
        """Returns the failure domain in which a lease is requested.

        It is this host's own, unless that has no server of the service.
        """
        for entry in self.view.available_servers(service):
            if entry.record.failure_domain == self.domain:
                return self.domain
        other_domains = self.other_domains(service)
        return other_domains[0] if other_domains else self.domain

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
        """
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
        return await self.acquire_locally(
            message.key, requirements, message.failure_domain, may_move=True
        )

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
