"""Refuses requests that crash servers, together with the other entries."""

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
    """The suspects of this entry, kept alike with those of its peers.

    Attributes:
        name: Name of this entry.
        suspects: What is known.
        routing_state: Names the other entries.
        peering: Messages to them.
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
        """Takes in the reports of peers from now on."""
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
        """Returns the entry that alone may try a suspect, None if this."""
        members = {member.name: member for member in self.current_members()}
        names = rank(fingerprint.hex(), members)
        if not names or names[0] == self.name:
            return None
        return members[names[0]]

    def report_crash(self, fingerprint: bytes, server: Server) -> None:
        """Notes a crash and tells every other entry."""
        name = f'{server.name}/{server.record.incarnation}'
        SUSPECT_REPORTS.labels('crash').inc()
        self.suspects.report_crash(fingerprint, name, self.clock())
        self.broadcast(CrashReport(fingerprint, name))

    def clear(self, fingerprint: bytes) -> None:
        """Ends a suspicion everywhere after a whole answer."""
        if self.suspects.clear(fingerprint):
            SUSPECT_REPORTS.labels('cleared').inc()
            self.broadcast(SuspectCleared(fingerprint))

    def broadcast(self, message: CrashReport | SuspectCleared) -> None:
        """Sends a message to every other entry."""
        for member in self.current_members():
            if member.name != self.name:
                self.peering.send(member.peer_address, message)

    async def on_crash(self, message: CrashReport, peer: str) -> None:
        """Takes in a crash that another entry saw."""
        self.suspects.report_crash(
            message.fingerprint, message.server, self.clock()
        )

    async def on_cleared(self, message: SuspectCleared, peer: str) -> None:
        """Takes in that a suspect was answered elsewhere."""
        self.suspects.clear(message.fingerprint)
