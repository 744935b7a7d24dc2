"""Handles a server's leaving signal without waiting for the agents."""

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
    """Tells a coordinator of a service that one of its servers is leaving."""

    fact: NodeRecord


LEAVE_MESSAGES = (ServerLeaving,)


class LeaveNotifier:
    """Stops using a leaving server and notifies its coordinators.

    The agents tell all hosts too; this works while an agent is frozen or
    gone.

    Attributes:
        name: Name of this entry.
        routing_state: Servers and placements in use.
        observations: Server states to report to the agent.
        peering: Messages to the coordinators.
    """

    __slots__ = ('name', 'observations', 'peering', 'routing_state')

    def __init__(
        self,
        name: str,
        routing_state: RoutingState,
        observations: Observations,
        peering: Peering,
    ) -> None:
        """Registers the handler of `ServerLeaving`."""
        self.name = name
        self.routing_state = routing_state
        self.observations = observations
        self.peering = peering
        peering.register(ServerLeaving, self.on_server_leaving)

    def on_attempt(self, record: NodeRecord, event: Event) -> None:
        """Handles the result of an attempt.

        Args:
            record: The server that the request was sent to.
            event: The result of the attempt.
        """
        self.observations.record(record, event)
        if isinstance(event, AnswerRead | Shed) and event.signals.leaving:
            leaving = replace(
                record, state=max(LifecycleState.LEAVING, record.state)
            )
            if self.merge_leaving(leaving):
                self.notify_coordinators(leaving)

    def merge_leaving(self, leaving: NodeRecord) -> bool:
        """Merges a server's record; returns whether it changed anything."""
        known = self.routing_state.view.records.get(leaving.name)
        if known is None or not leaving.supersedes(known):
            return False
        self.routing_state.merge_facts([leaving])
        return True

    def notify_coordinators(self, leaving: NodeRecord) -> None:
        """Notifies the other coordinators of the server's service."""
        placement = self.routing_state.placements.get(leaving.service)
        for coordinator in placement.coordinators if placement else ():
            if coordinator.name != self.name:
                message = ServerLeaving(leaving)
                self.peering.send(coordinator.peer_address, message)

    async def on_server_leaving(
        self, message: ServerLeaving, peer: str
    ) -> None:
        """Merges the record that another entry sent, unless it is live."""
        if message.fact.state is LifecycleState.LIVE:
            return
        self.merge_leaving(message.fact)
