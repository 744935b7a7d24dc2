"""Tickets that wait for a slot."""

from collections import deque
from collections.abc import Iterator
from itertools import chain
from itertools import zip_longest

from cowslipmill.coordination.lease import EntryLeaseKey
from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.document.document import Priority


class WaitQueue:
    """Tickets by priority, and within one in turn between callers.

    Attributes:
        lanes: For each priority the callers in turn, with their tickets.
        requests: Every ticket by its key.
    """

    __slots__ = ('lanes', 'requests')

    def __init__(self) -> None:
        """Starts empty."""
        self.lanes: dict[Priority, dict[str, deque[EntryLeaseRequest]]] = {
            priority: {} for priority in Priority
        }
        self.requests: dict[EntryLeaseKey, EntryLeaseRequest] = {}

    def __len__(self) -> int:
        """Returns how many tickets wait."""
        return len(self.requests)

    def __iter__(self) -> Iterator[EntryLeaseRequest]:
        """Yields the tickets in the order in which they get slots."""
        for lane in self.lanes.values():
            rounds = zip_longest(*lane.values())
            for lease_request in chain.from_iterable(rounds):
                if lease_request is not None:
                    yield lease_request

    def enqueue(self, lease_request: EntryLeaseRequest) -> None:
        """Adds a ticket behind the others of its caller."""
        lane = self.lanes[lease_request.priority]
        lane.setdefault(lease_request.caller, deque()).append(lease_request)
        self.requests[lease_request.key] = lease_request

    def pop(self, lease_request: EntryLeaseRequest) -> None:
        """Removes a ticket that gets its slot; its caller's turn is over."""
        self.remove(lease_request)
        lane = self.lanes[lease_request.priority]
        waiting = lane.pop(lease_request.caller, None)
        if waiting is not None:
            lane[lease_request.caller] = waiting

    def remove(self, lease_request: EntryLeaseRequest) -> None:
        """Removes a ticket and leaves its caller's turn as it is."""
        lane = self.lanes[lease_request.priority]
        waiting = lane[lease_request.caller]
        waiting.remove(lease_request)
        if not waiting:
            del lane[lease_request.caller]
        del self.requests[lease_request.key]

    def count_ahead(self, lease_request: EntryLeaseRequest) -> int:
        """Returns how many waiting tickets go before a new one."""
        ahead = 0
        for priority, lane in self.lanes.items():
            if priority is lease_request.priority:
                own = len(lane.get(lease_request.caller, ()))
                turns = (min(len(other), own + 1) for other in lane.values())
                return ahead + sum(turns)
            ahead += sum(len(waiting) for waiting in lane.values())
        return ahead
