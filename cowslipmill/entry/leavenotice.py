"""Acts on a server's word that it is leaving, without waiting for agents."""

from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.entry.observations import Observations
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.rules import Rules
from cowslipmill.hosts.fact import Fact
from cowslipmill.hosts.fact import State
from cowslipmill.tries.event import AnswerRead
from cowslipmill.tries.event import Event
from cowslipmill.tries.event import Shed


class ServerLeaving(Struct, frozen=True, tag='server-leaving'):
    """Tells a home of a service that a server of it is leaving."""

    fact: Fact


LEAVE_MESSAGES = (ServerLeaving,)


class LeaveNotice:
    """Takes a leaving server out of this entry and tells its homes.

    The agents tell everybody; this holds while an agent is frozen or gone.

    Attributes:
        name: Name of this entry.
        rules: What is in force.
        observations: What the agent is told.
        peering: Reaches the homes.
    """

    __slots__ = ('name', 'observations', 'peering', 'rules')

    def __init__(
        self,
        name: str,
        rules: Rules,
        observations: Observations,
        peering: Peering,
    ) -> None:
        """Registers the message."""
        self.name = name
        self.rules = rules
        self.observations = observations
        self.peering = peering
        peering.register(ServerLeaving, self.take)

    def note(self, fact: Fact, event: Event) -> None:
        """Notes what came of a try.

        Args:
            fact: The server that the request was sent to.
            event: What came of it.
        """
        self.observations.note(fact, event)
        if isinstance(event, AnswerRead | Shed) and event.signals.leaving:
            leaving = replace(fact, state=max(State.LEAVING, fact.state))
            if self.put_in_force(leaving):
                self.tell_homes(leaving)

    def put_in_force(self, leaving: Fact) -> bool:
        """Merges a fact and tells whether it was news."""
        known = self.rules.view.facts.get(leaving.name)
        if known is None or not leaving.supersedes(known):
            return False
        self.rules.take_facts([leaving])
        return True

    def tell_homes(self, leaving: Fact) -> None:
        """Tells the homes of the server's service."""
        placement = self.rules.placements.get(leaving.service)
        for home in placement.homes if placement else ():
            if home.name != self.name:
                message = ServerLeaving(leaving)
                self.peering.send(home.peer_address, message)

    async def take(self, message: ServerLeaving, peer: str) -> None:
        """Takes in another entry's word."""
        if message.fact.state is State.LIVE:
            return
        self.put_in_force(message.fact)
