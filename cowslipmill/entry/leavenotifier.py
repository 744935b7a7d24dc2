"""Acts on a server's word that it is leaving, without waiting for agents."""

from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import Shed
from cowslipmill.entry.observations import Observations
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord


class ServerLeaving(Struct, frozen=True, tag='server-leaving'):
    """Tells a home of a service that a server of it is leaving."""

    fact: NodeRecord


LEAVE_MESSAGES = (ServerLeaving,)


class LeaveNotifier:
    """Takes a leaving server out of this entry and tells its homes.

    The agents tell everybody; this holds while an agent is frozen or gone.

    Attributes:
        name: Name of this entry.
        routing_state: What is in force.
        observations: What the agent is told.
        peering: Reaches the homes.
    """

    __slots__ = ('name', 'observations', 'peering', 'routing_state')

    def __init__(
        self,
        name: str,
        routing_state: RoutingState,
        observations: Observations,
        peering: Peering,
    ) -> None:
        """Registers the message."""
        self.name = name
        self.routing_state = routing_state
        self.observations = observations
        self.peering = peering
        peering.register(ServerLeaving, self.on_server_leaving)

    def on_attempt(self, record: NodeRecord, event: Event) -> None:
        """Notes what came of a try.

        Args:
            record: The server that the request was sent to.
            event: What came of it.
        """
        self.observations.record(record, event)
        if isinstance(event, AnswerRead | Shed) and event.signals.leaving:
            leaving = replace(
                record, state=max(LifecycleState.LEAVING, record.state)
            )
            if self.merge_leaving(leaving):
                self.notify_coordinators(leaving)

    def merge_leaving(self, leaving: NodeRecord) -> bool:
        """Merges a fact and tells whether it was news."""
        known = self.routing_state.view.records.get(leaving.name)
        if known is None or not leaving.supersedes(known):
            return False
        self.routing_state.merge_facts([leaving])
        return True

    def notify_coordinators(self, leaving: NodeRecord) -> None:
        """Tells the homes of the server's service."""
        placement = self.routing_state.placements.get(leaving.service)
        for coordinator in placement.coordinators if placement else ():
            if coordinator.name != self.name:
                message = ServerLeaving(leaving)
                self.peering.send(coordinator.peer_address, message)

    async def on_server_leaving(
        self, message: ServerLeaving, peer: str
    ) -> None:
        """Takes in another entry's word."""
        if message.fact.state is LifecycleState.LIVE:
            return
        self.merge_leaving(message.fact)
