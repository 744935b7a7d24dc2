"""Load balancing policies that use only what this process knows.

They do not bound the requests that a server gets.
"""

from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
from itertools import count
from random import Random
from typing import Protocol

from cowslipmill.choice.chooser import ChoiceRequest
from cowslipmill.choice.rule import Rule
from cowslipmill.choice.server import Server
from cowslipmill.coordination.lease import Report
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason

NO_SERVER = NotRun(Reason.NO_SERVER, 1_000)


class Policy(Protocol):
    """Load balancing policy of one service."""

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns the server for the next attempt."""

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Records how an attempt ended."""


class RoundRobin:
    """Picks each server in turn."""

    __slots__ = ('counter',)

    def __init__(self) -> None:
        """Starts without a position; the first pick draws one."""
        self.counter: count[int] | None = None

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns the next server."""
        if self.counter is None:
            self.counter = count(random.randrange(len(servers)))
        return servers[next(self.counter) % len(servers)]

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Does nothing; the policy uses no results."""


class RandomChoice:
    """Picks a server at random."""

    __slots__ = ()

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns a random server."""
        return random.choice(servers)

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Does nothing; the policy uses no results."""


class LeastInFlight:
    """Picks the server with the fewest requests of this process in flight."""

    __slots__ = ()

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns one of the least loaded servers."""
        return min(
            servers, key=lambda server: (server.in_flight, random.random())
        )

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Does nothing; the data path counts requests in flight."""


class TwoChoices:
    """Picks the less loaded of two servers by the load last reported.

    Attributes:
        loads: Load last reported with a response, by server name.
    """

    __slots__ = ('loads',)

    def __init__(self) -> None:
        """Starts without reports."""
        self.loads: dict[str, int] = {}

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns the less loaded of two random servers."""
        candidates = random.sample(list(servers), min(2, len(servers)))
        return min(
            candidates, key=lambda server: self.loads.get(server.name, 0)
        )

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Records the reported load."""
        if report.load is not None:
            self.loads[server.name] = report.load


class PolicyChoice:
    """A server picked by a policy.

    Attributes:
        server: Server to send the request to.
        observe: Called with the report when the attempt has ended.
    """

    __slots__ = ('observe', 'server')

    def __init__(
        self, server: Server, observe: Callable[[Report], None]
    ) -> None:
        """Binds a server to the receiver of its report."""
        self.server = server
        self.observe = observe

    def release(self, report: Report) -> None:
        """Passes on how the attempt ended."""
        self.observe(report)


class PolicyChooser:
    """Chooses servers by one policy instance per service.

    Attributes:
        policies: Policies by service.
    """

    __slots__ = ('clock', 'make_policy', 'policies', 'random', 'servers')

    def __init__(
        self,
        make_policy: Callable[[], Policy],
        servers: Callable[[str], Sequence[Server]],
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Starts without policies.

        Args:
            make_policy: Creates the policy of a service.
            servers: Returns the live servers of a service.
            clock: Returns monotonic seconds.
            random: Source of random choices.
        """
        self.make_policy = make_policy
        self.servers = servers
        self.clock = clock
        self.random = random
        self.policies: dict[str, Policy] = {}

    async def acquire(
        self, choice_request: ChoiceRequest
    ) -> PolicyChoice | NotRun:
        """Returns the server that the policy picks, or `NO_SERVER`."""
        service = choice_request.route.service
        servers = [
            server
            for server in self.servers(service)
            if server.name not in choice_request.excluded
        ]
        if not servers:
            return NO_SERVER
        policy = self.policies.setdefault(service, self.make_policy())
        server = policy.pick(servers, self.clock(), self.random)
        return PolicyChoice(server, partial(self.observe, policy, server))

    def observe(self, policy: Policy, server: Server, report: Report) -> None:
        """Passes a report to the policy."""
        policy.observe(server, report, self.clock())

    def refresh(self, service: str) -> None:
        """Does nothing; the servers are read at each choice."""


SIMPLE_POLICIES: dict[Rule, Callable[[], Policy]] = {
    Rule.ROUND_ROBIN: RoundRobin,
    Rule.RANDOM: RandomChoice,
    Rule.LEAST_IN_FLIGHT: LeastInFlight,
    Rule.TWO_CHOICES: TwoChoices,
}
