"""Drives a request through its exchange."""

from asyncio import timeout_at
from collections.abc import Callable
from random import Random

from cowslipmill.choice.server import Server
from cowslipmill.document.document import Route
from cowslipmill.entry.rules import Rules
from cowslipmill.entry.upstream import FirstByteRefused
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.entry.upstream import Upstream
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.tries.action import Action
from cowslipmill.tries.action import Choose
from cowslipmill.tries.action import Confirm
from cowslipmill.tries.action import Finish
from cowslipmill.tries.action import Send
from cowslipmill.tries.action import Write
from cowslipmill.tries.advance import advance
from cowslipmill.tries.event import Connected
from cowslipmill.tries.event import DeadlinePassed
from cowslipmill.tries.event import Event
from cowslipmill.tries.event import ServerChosen
from cowslipmill.tries.event import ServerRefused
from cowslipmill.tries.exchange import Exchange

NO_SERVER_RETRY_AFTER_MS = 1_000


class Dispatcher:
    """Carries out the actions of exchanges.

    Attributes:
        rules: What is in force.
        upstream: Connections to the backend servers.
        clock: Returns monotonic seconds.
    """

    __slots__ = ('clock', 'random', 'rules', 'upstream')

    def __init__(
        self,
        rules: Rules,
        upstream: Upstream,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Keeps the parts."""
        self.rules = rules
        self.upstream = upstream
        self.clock = clock
        self.random = random

    async def dispatch(
        self, route: Route, request: OutgoingRequest, deadline_at: float
    ) -> Outcome:
        """Serves one request and returns its outcome.

        Args:
            route: Its route.
            request: What to send.
            deadline_at: Monotonic seconds.
        """
        budget = self.rules.budgets[route.service]
        exchange = Exchange(route, budget, deadline_at)
        action = exchange.start()
        try:
            async with timeout_at(deadline_at):
                while not isinstance(action, Finish):
                    event = await self.carry_out(action, exchange, request)
                    action = advance(event, exchange, self.clock())
        except TimeoutError:
            last = advance(DeadlinePassed(), exchange, self.clock())
            assert isinstance(last, Finish)
            action = last
        return action.outcome

    async def carry_out(
        self, action: Action, exchange: Exchange, request: OutgoingRequest
    ) -> Event:
        """Does what the exchange asks for and returns what happened."""
        if isinstance(action, Choose):
            return self.choose(exchange.route, action)
        if isinstance(action, Confirm):
            return await self.upstream.confirm(action.server.fact)
        assert isinstance(action, Send)
        return await self.send(action.server, request, exchange)

    def choose(self, route: Route, action: Choose) -> Event:
        """Returns a server, or why there is none."""
        pool = self.rules.pools[route.service]
        server = pool.choose(action.excluded, self.random)
        if server is None:
            refusal = NotRun(Reason.NO_SERVER, NO_SERVER_RETRY_AFTER_MS)
            return ServerRefused(refusal)
        return ServerChosen(server)

    async def send(
        self, server: Server, request: OutgoingRequest, exchange: Exchange
    ) -> Event:
        """Makes one try and counts it as in flight meanwhile."""

        def permit() -> int:
            """Returns the time left, or refuses to write the first byte."""
            action = advance(Connected(), exchange, self.clock())
            if not isinstance(action, Write):
                raise FirstByteRefused
            return action.deadline_ms

        server.in_flight += 1
        try:
            return await self.upstream.send(server.fact, request, permit)
        finally:
            server.in_flight -= 1
