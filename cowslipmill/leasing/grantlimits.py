"""Limits what this host's coordinators grant at servers, by its rank.

Several hosts may coordinate a server at once, as after a failure, and may not
reach each other. Each of them has a fixed share of what the server takes.
"""

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.leasing.ratelimits import COORDINATOR_SHARES
from cowslipmill.leasing.ratelimits import MIN_LIMIT_PER_S
from cowslipmill.leasing.ratelimits import RateLimits
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.runtime.names import BoundedDict
from cowslipmill.view.view import View

# Hosts that may grant at cold servers while all hosts are leaving and each
# one coordinates for itself. Each saves up one request.
MAX_LEAVING_COORDINATORS = 4

# What is in force for the cold servers of a coordinator: generation of the
# view, requests a second or None for no limit, and requests saved up.
WarmUpLimit = tuple[int, float | None, float]


class GrantLimits:
    """Limits the grants of coordinators.

    Attributes:
        view: The servers and the configuration in force.
        member_list: The hosts known.
        rate_limits: The rate limits that servers name.
        warm_up_limits: Limits of cold servers that are in force, by service
            and failure domain.
    """

    def __init__(
        self, view: View, member_list: MemberList, rate_limits: RateLimits
    ) -> None:
        """Starts without limits in force."""
        self.view = view
        self.member_list = member_list
        self.rate_limits = rate_limits
        self.warm_up_limits: dict[tuple[str, str], WarmUpLimit] = BoundedDict()

    def apply(
        self,
        scheduler: SlotScheduler,
        service: str,
        failure_domain: str,
        now: float,
    ) -> None:
        """Limits the grants of a coordinator to its share of the limits.

        Args:
            scheduler: The coordinator's scheduler, with the servers in the
                view.
            service: The service that it coordinates.
            failure_domain: Failure domain of its servers.
            now: Monotonic seconds.
        """
        self.apply_warm_up_limit(scheduler, service, failure_domain, now)
        if not self.rate_limits.known:
            return
        share, max_tokens = self.share(service, failure_domain)
        for server in scheduler.servers.values():
            per_s = self.rate_limits.per_s(
                server.name, server.record.started_ms
            )
            if per_s is not None:
                per_s = share * max(MIN_LIMIT_PER_S, per_s)
            server.limit_rate(per_s, max_tokens, now)

    def apply_warm_up_limit(
        self,
        scheduler: SlotScheduler,
        service: str,
        failure_domain: str,
        now: float,
    ) -> None:
        """Limits the grants at cold servers, if that limit has changed."""
        settings = self.view.services.get(service)
        per_s: float | None = None
        max_tokens = 0.0
        if settings is not None and settings.warm_up_per_s:
            share, max_tokens = self.warm_up_share(service, failure_domain)
            per_s = share * settings.warm_up_per_s
        key = (service, failure_domain)
        limit = (self.view.generation, per_s, max_tokens)
        if self.warm_up_limits.get(key) == limit:
            return
        self.warm_up_limits[key] = limit
        for server in scheduler.servers.values():
            server.warm_up.set_limit(per_s, max_tokens, now)

    def share(self, service: str, failure_domain: str) -> tuple[float, float]:
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

    def warm_up_share(
        self, service: str, failure_domain: str
    ) -> tuple[float, float]:
        """Returns this host's share of the limits of cold servers.

        It is the share of `share`, and none for hosts beyond
        `MAX_LEAVING_COORDINATORS` while all hosts are leaving: what more of
        them save up would exceed the bound.
        """
        states = self.member_list.states
        all_leaving = all(state.leaving for state in states.values())
        if all_leaving:
            first = sorted(states)[:MAX_LEAVING_COORDINATORS]
            if self.member_list.own.name not in first:
                return 0.0, 0.0
        return self.share(service, failure_domain)
