"""Rules that choose by what this process knows; they keep no limits."""

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
    """Picks one of some servers."""

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns one of the servers."""

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Takes in how a try ended."""


class RoundRobin:
    """Picks each server in turn."""

    __slots__ = ('turns',)

    def __init__(self) -> None:
        """Starts at no server in particular."""
        self.turns: count[int] | None = None

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns the next server."""
        if self.turns is None:
            self.turns = count(random.randrange(len(servers)))
        return servers[next(self.turns) % len(servers)]

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Learns nothing."""


class RandomChoice:
    """Picks any server."""

    __slots__ = ()

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns a random server."""
        return random.choice(servers)

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Learns nothing."""


class LeastInFlight:
    """Picks the server with the fewest requests of this process."""

    __slots__ = ()

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns one of the least loaded servers."""
        return min(
            servers, key=lambda server: (server.in_flight, random.random())
        )

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Learns nothing; the data path counts requests in flight."""


class TwoChoices:
    """Picks the better of two by the load last reported with an answer.

    Attributes:
        loads: Last reported load by server name.
    """

    __slots__ = ('loads',)

    def __init__(self) -> None:
        """Starts without reports."""
        self.loads: dict[str, int] = {}

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns the less loaded of two random servers."""
        two = random.sample(list(servers), min(2, len(servers)))
        return min(two, key=lambda server: self.loads.get(server.name, 0))

    def observe(self, server: Server, report: Report, now: float) -> None:
        """Keeps the reported load."""
        if report.load is not None:
            self.loads[server.name] = report.load


class PolicyChoice:
    """A server picked by a policy.

    Attributes:
        server: The server.
        observe: Takes the report.
    """

    __slots__ = ('observe', 'server')

    def __init__(
        self, server: Server, observe: Callable[[Report], None]
    ) -> None:
        """Keeps the two."""
        self.server = server
        self.observe = observe

    def release(self, report: Report) -> None:
        """Takes in how the try ended."""
        self.observe(report)


class PolicyChooser:
    """Chooses by one policy for each service.

    Attributes:
        policies: Policies by service.
    """

    __slots__ = ('build', 'clock', 'policies', 'random', 'servers')

    def __init__(
        self,
        build: Callable[[], Policy],
        servers: Callable[[str], Sequence[Server]],
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Keeps how to make a policy and where the servers are."""
        self.build = build
        self.servers = servers
        self.clock = clock
        self.random = random
        self.policies: dict[str, Policy] = {}

    async def acquire(
        self, choice_request: ChoiceRequest
    ) -> PolicyChoice | NotRun:
        """Returns the server that the policy picks."""
        service = choice_request.route.service
        servers = [
            server
            for server in self.servers(service)
            if server.name not in choice_request.excluded
        ]
        if not servers:
            return NO_SERVER
        policy = self.policies.setdefault(service, self.build())
        server = policy.pick(servers, self.clock(), self.random)
        return PolicyChoice(server, partial(self.observe, policy, server))

    def observe(self, policy: Policy, server: Server, report: Report) -> None:
        """Hands a report to the policy."""
        policy.observe(server, report, self.clock())

    def refresh(self, service: str) -> None:
        """Needs nothing; the servers are read at each choice."""


SIMPLE_POLICIES: dict[Rule, Callable[[], Policy]] = {
    Rule.ROUND_ROBIN: RoundRobin,
    Rule.RANDOM: RandomChoice,
    Rule.LEAST_IN_FLIGHT: LeastInFlight,
    Rule.TWO_CHOICES: TwoChoices,
}
