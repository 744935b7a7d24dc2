"""Shares reports of requests that crash servers with the other entries."""

from collections.abc import Callable

from cowslipmill.choice.server import Server
from cowslipmill.coordination.rendezvous import rank
from cowslipmill.entry.metrics import SUSPECT_REPORTS
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.suspects.messages import CrashReport
from cowslipmill.suspects.messages import SuspectCleared
from cowslipmill.suspects.suspects import SuspectRequests


class CrashReporter:
    """The suspect requests of this entry, synchronized with its peers.

    Attributes:
        name: Name of this entry.
        suspects: Crash reports by request.
        routing_state: The members of the deployment.
        peering: Messages to the other entries.
        clock: Returns monotonic seconds.
    """

    __slots__ = ('clock', 'name', 'peering', 'routing_state', 'suspects')

    def __init__(
        self,
        name: str,
        routing_state: RoutingState,
        peering: Peering,
        clock: Callable[[], float],
    ) -> None:
        """Registers the handlers of crash reports and clearances."""
        self.name = name
        self.suspects = SuspectRequests()
        self.routing_state = routing_state
        self.peering = peering
        self.clock = clock
        peering.register(CrashReport, self.on_crash)
        peering.register(SuspectCleared, self.on_cleared)

    def current_members(self) -> list[Member]:
        """Returns the entries that are not gone."""
        return [
            member
            for member in self.routing_state.members
            if member.state is not LifecycleState.GONE
        ]

    def find_owner(self, fingerprint: bytes) -> Member | None:
        """Returns the only entry that may run a suspect; None for this one."""
        members = {member.name: member for member in self.current_members()}
        names = rank(fingerprint.hex(), members)
        if not names or names[0] == self.name:
            return None
        return members[names[0]]

    def report_crash(self, fingerprint: bytes, server: Server) -> None:
        """Records a crash and broadcasts it to the other entries.

        Args:
            fingerprint: Hash of the request.
            server: The server that crashed while it had the request.
        """
        name = f'{server.name}/{server.record.incarnation}'
        SUSPECT_REPORTS.labels('crash').inc()
        self.suspects.report_crash(fingerprint, name, self.clock())
        self.broadcast(CrashReport(fingerprint, name))

    def clear(self, fingerprint: bytes) -> None:
        """Clears a suspect request here and at the other entries."""
        if self.suspects.clear(fingerprint):
            SUSPECT_REPORTS.labels('cleared').inc()
            self.broadcast(SuspectCleared(fingerprint))

    def broadcast(self, message: CrashReport | SuspectCleared) -> None:
        """Sends a message to every other entry."""
        for member in self.current_members():
            if member.name != self.name:
                self.peering.send(member.peer_address, message)

    async def on_crash(self, message: CrashReport, peer: str) -> None:
        """Records a crash that another entry reported."""
        self.suspects.report_crash(
            message.fingerprint, message.server, self.clock()
        )

    async def on_cleared(self, message: SuspectCleared, peer: str) -> None:
        """Clears a suspect request that another entry got a response to."""
        self.suspects.clear(message.fingerprint)
