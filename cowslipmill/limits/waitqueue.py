"""Queue of lease requests that wait for a slot."""

from collections import deque
from collections.abc import Iterator
from itertools import chain
from itertools import zip_longest

from cowslipmill.coordination.lease import EntryLeaseKey
from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.document.document import Priority


class WaitQueue:
    """Lease requests by priority, and round-robin between callers.

    Attributes:
        lanes: Queued requests by priority and caller; the callers stand in
            the order of their turns.
        requests: Queued requests by key.
    """

    __slots__ = ('lanes', 'requests')

    def __init__(self) -> None:
        """Starts empty."""
        self.lanes: dict[Priority, dict[str, deque[EntryLeaseRequest]]] = {
            priority: {} for priority in Priority
        }
        self.requests: dict[EntryLeaseKey, EntryLeaseRequest] = {}

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self.requests)

    def __iter__(self) -> Iterator[EntryLeaseRequest]:
        """Yields the requests in the order in which they get slots."""
        for lane in self.lanes.values():
            rounds = zip_longest(*lane.values())
            for lease_request in chain.from_iterable(rounds):
                if lease_request is not None:
                    yield lease_request

    def enqueue(self, lease_request: EntryLeaseRequest) -> None:
        """Adds a request behind the others of its caller."""
        lane = self.lanes[lease_request.priority]
        lane.setdefault(lease_request.caller, deque()).append(lease_request)
        self.requests[lease_request.key] = lease_request

    def pop(self, lease_request: EntryLeaseRequest) -> None:
        """Removes a request that gets a slot; the turn of its caller ends."""
        self.remove(lease_request)
        lane = self.lanes[lease_request.priority]
        waiting = lane.pop(lease_request.caller, None)
        if waiting is not None:
            lane[lease_request.caller] = waiting

    def remove(self, lease_request: EntryLeaseRequest) -> None:
        """Removes a request and keeps the turn of its caller."""
        lane = self.lanes[lease_request.priority]
        waiting = lane[lease_request.caller]
        waiting.remove(lease_request)
        if not waiting:
            del lane[lease_request.caller]
        del self.requests[lease_request.key]

    def count_ahead(self, lease_request: EntryLeaseRequest) -> int:
        """Returns how many queued requests get a slot before a new one."""
        ahead = 0
        for priority, lane in self.lanes.items():
            if priority is lease_request.priority:
                own = len(lane.get(lease_request.caller, ()))
                turns = (min(len(other), own + 1) for other in lane.values())
                return ahead + sum(turns)
            ahead += sum(len(waiting) for waiting in lane.values())
        return ahead
