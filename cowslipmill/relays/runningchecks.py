"""Checks whether servers are running, with the help of other hosts.

For the case that a host loses its links to servers: the connections that it
loses with them are no crashes of servers.
"""

from asyncio import gather
from asyncio import sleep
from collections.abc import Callable
from random import Random

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.leasing.prober import Prober
from cowslipmill.leasing.prober import RunState
from cowslipmill.relays.messages import AskRunning
from cowslipmill.relays.messages import Running
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.view import View

# A host replies once its own check has timed out, at the latest.
REPLY_TIMEOUT_S = 0.35
# Hosts that are asked at the same time.
MAX_HOSTS_ASKED = 5
# Checks of a server that accepts connections and doesn't respond. A full one
# responds to some host meanwhile; one that crashed starts again after seconds.
MAX_CHECKS = 3
CHECK_INTERVAL_S = 0.2
# A response that a server sent before it crashed may arrive so much later.
RESPONSE_DELAY_S = 0.1


class RunningChecks:
    """Checks servers over own links, and then over those of other hosts.

    Attributes:
        prober: Checks over this host's own links.
        view: Knows the servers and their health paths.
        member_list: The hosts known.
        rpc: Calls between hosts.
        random: Chooses the hosts to ask.
    """

    def __init__(
        self,
        prober: Prober,
        view: View,
        member_list: MemberList,
        rpc: Rpc,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Registers the message handler."""
        self.prober = prober
        self.view = view
        self.member_list = member_list
        self.rpc = rpc
        self.clock = clock
        self.random = random
        rpc.register(AskRunning, self.on_ask_running)

    async def is_running(
        self, server: ServerRecord, doubted_at: float
    ) -> bool:
        """Returns whether a server is running, in the same incarnation.

        One that accepts connections isn't, unless it responds to some host.
        One that has not responded to any host may have restarted when it
        does: then only a connection that was open before shows that it has
        not. True if neither this host nor those that it asks can tell.

        Args:
            server: The server.
            doubted_at: Since when that is in doubt, in monotonic seconds.
        """
        for number in range(MAX_CHECKS):
            if number:
                await sleep(CHECK_INTERVAL_S)
            states = [await self.check_own_path(server, doubted_at)]
            if states[0] is not RunState.RUNNING:
                states += await self.ask_others(server, doubted_at)
            if RunState.RUNNING in states:
                return True
            if RunState.RESPONDING in states:
                return number == 0
            if RunState.UNCLEAR not in states:
                return RunState.DOWN not in states
        return False

    async def ask_others(
        self, server: ServerRecord, doubted_at: float
    ) -> list[RunState | None]:
        """Returns what some other hosts find; None for one that can't tell.

        The server's coordinator is among them: it probes the server's load
        over connections that are open for long.
        """
        now = self.clock()
        message = AskRunning(
            server.name, server.started_ms, round(now - doubted_at, 4)
        )
        members = [
            state.member
            for state in self.member_list.ranked_states('running', '')
            if state.member.name != self.member_list.own.name
            and now >= state.backoff_until
        ]
        self.random.shuffle(members)
        coordinators = self.member_list.ranked_members(
            server.service, server.failure_domain, now, by_capacity=True
        )[:1]
        members.sort(key=lambda member: member not in coordinators)
        replies = await gather(
            *(
                self.rpc.call(member.address, message, REPLY_TIMEOUT_S)
                for member in members[:MAX_HOSTS_ASKED]
            )
        )
        return [
            state_of(reply) if isinstance(reply, Running) else None
            for reply in replies
        ]

    async def check_own_path(
        self, server: ServerRecord, doubted_at: float
    ) -> RunState | None:
        """Returns whether a server is running, by what this host sees.

        That is a response since the doubt on an older connection, or on a
        new one.

        Returns:
            None if this host can't tell, since it reaches no server or may
            send nothing to this one, as its domain is evacuated or it pauses.
        """
        known = self.view.servers.get(server.name)
        if known is not None and known.record.started_ms != server.started_ms:
            return RunState.DOWN
        paths = self.prober.paths
        confirmed_at = doubted_at + RESPONSE_DELAY_S
        if paths.has_run_through(server.address, doubted_at, confirmed_at):
            return RunState.RUNNING
        if paths.was_reached_since(server.address, confirmed_at):
            return RunState.RESPONDING
        if paths.isolated:
            return None
        if self.view.evacuations.is_active(server.failure_domain):
            return None
        if self.prober.pauses.is_paused(server, self.clock()):
            return None
        service = self.view.services.get(server.service)
        path = '/' if service is None else service.health_path
        state = await self.prober.check(server, path)
        if state is RunState.DOWN:
            return None if paths.isolated else state
        return state

    async def on_ask_running(
        self, message: AskRunning, sender: str
    ) -> Running:
        """Checks a server for another host, over own links only."""
        known = self.view.servers.get(message.server)
        if known is None or known.record.started_ms != message.started_ms:
            return Running(None if known is None else False)
        state = await self.check_own_path(
            known.record, self.clock() - message.doubted_s
        )
        if state is None or state is RunState.UNCLEAR:
            return Running(None, unclear=state is RunState.UNCLEAR)
        return Running(
            state is not RunState.DOWN, proved=state is RunState.RUNNING
        )


def state_of(reply: Running) -> RunState | None:
    """Returns what another host finds; None if it can't tell."""
    if reply.unclear:
        return RunState.UNCLEAR
    if reply.running is None:
        return None
    if not reply.running:
        return RunState.DOWN
    return RunState.RUNNING if reply.proved else RunState.RESPONDING
