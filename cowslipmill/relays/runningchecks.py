"""Checks whether servers are running, with the help of other hosts.

For the case that a host loses its links to servers: the connections that it
loses with them are no crashes of servers.
"""

from collections.abc import Callable
from random import Random

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.leasing.prober import Prober
from cowslipmill.relays.messages import AskRunning
from cowslipmill.relays.messages import Running
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.view import View

# A host replies once a connection attempt has timed out, at the latest.
REPLY_TIMEOUT_S = 0.25
# Hosts that are asked for one check.
MAX_HOSTS_ASKED = 5


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

    async def is_running(self, server: ServerRecord) -> bool:
        """Returns whether a server is running, in the same incarnation.

        True also if neither this host nor those that it asks can tell.
        """
        running = await self.check_own_path(server)
        if running:
            return True
        message = AskRunning(server.name, server.started_ms)
        now = self.clock()
        members = [
            state.member
            for state in self.member_list.ranked_states('running', '')
            if state.member.name != self.member_list.own.name
            and now >= state.backoff_until
        ]
        self.random.shuffle(members)
        for member in members[:MAX_HOSTS_ASKED]:
            reply = await self.rpc.call(
                member.address, message, REPLY_TIMEOUT_S
            )
            if isinstance(reply, Running) and reply.running is not None:
                return reply.running
        return running is None

    async def check_own_path(self, server: ServerRecord) -> bool | None:
        """Returns whether a server is running, by a new connection.

        Returns:
            None if this host can't tell, since it reaches no server or may
            send nothing to this one.
        """
        if self.prober.paths.isolated:
            return None
        if self.prober.pauses.is_paused(server, self.clock()):
            return None
        service = self.view.services.get(server.service)
        path = '/' if service is None else service.health_path
        if not await self.prober.is_running(server, path):
            return None if self.prober.paths.isolated else False
        known = self.view.servers.get(server.name)
        return known is None or known.record.started_ms == server.started_ms

    async def on_ask_running(
        self, message: AskRunning, sender: str
    ) -> Running:
        """Checks a server for another host, over own links only."""
        known = self.view.servers.get(message.server)
        if known is None or known.record.started_ms != message.started_ms:
            return Running(None if known is None else False)
        return Running(await self.check_own_path(known.record))
