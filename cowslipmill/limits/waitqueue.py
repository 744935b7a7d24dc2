"""Tickets that wait for a slot."""

from collections import deque
from collections.abc import Iterator
from itertools import chain
from itertools import zip_longest

from cowslipmill.document.document import Priority
from cowslipmill.homes.lease import Ticket
from cowslipmill.homes.lease import TicketKey


class WaitQueue:
    """Tickets by priority, and within one in turn between callers.

    Attributes:
        lanes: For each priority the callers in turn, with their tickets.
        tickets: Every ticket by its key.
    """

    __slots__ = ('lanes', 'tickets')

    def __init__(self) -> None:
        """Starts empty."""
        self.lanes: dict[Priority, dict[str, deque[Ticket]]] = {
            priority: {} for priority in Priority
        }
        self.tickets: dict[TicketKey, Ticket] = {}

    def __len__(self) -> int:
        """Returns how many tickets wait."""
        return len(self.tickets)

    def __iter__(self) -> Iterator[Ticket]:
        """Yields the tickets in the order in which they get slots."""
        for lane in self.lanes.values():
            rounds = zip_longest(*lane.values())
            for ticket in chain.from_iterable(rounds):
                if ticket is not None:
                    yield ticket

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket behind the others of its caller."""
        lane = self.lanes[ticket.priority]
        lane.setdefault(ticket.caller, deque()).append(ticket)
        self.tickets[ticket.key] = ticket

    def take(self, ticket: Ticket) -> None:
        """Removes a ticket that gets its slot; its caller's turn is over."""
        self.remove(ticket)
        lane = self.lanes[ticket.priority]
        waiting = lane.pop(ticket.caller, None)
        if waiting is not None:
            lane[ticket.caller] = waiting

    def remove(self, ticket: Ticket) -> None:
        """Removes a ticket and leaves its caller's turn as it is."""
        lane = self.lanes[ticket.priority]
        waiting = lane[ticket.caller]
        waiting.remove(ticket)
        if not waiting:
            del lane[ticket.caller]
        del self.tickets[ticket.key]

    def count_ahead(self, ticket: Ticket) -> int:
        """Returns how many waiting tickets go before a new one."""
        ahead = 0
        for priority, lane in self.lanes.items():
            if priority is ticket.priority:
                own = len(lane.get(ticket.caller, ()))
                turns = (min(len(other), own + 1) for other in lane.values())
                return ahead + sum(turns)
            ahead += sum(len(waiting) for waiting in lane.values())
        return ahead
