"""A bound on the memory that all work of one kind holds together.

For the case that a peer sends without end, or many peers send at once: what
is held is counted over everything under way in the process, and the largest
holding makes room for smaller ones, so that those that send little don't pay.
"""

from collections.abc import Callable
from logging import getLogger

from prometheus_client import Counter

LOG = getLogger(__name__)

# A holding of at most this size may use the whole budget; a larger one leaves
# the reserve to those.
SMALL_BYTES = 65_536
# One part in so many of a budget is its reserve.
RESERVE_DIVISOR = 16

EVICTIONS = Counter(
    'cowslipmill_host_memory_evictions_total',
    'Work that was ended since its kind held too much memory.',
    ('budget',),
)


class MemoryBudget:
    """The memory that one kind of work may hold.

    Attributes:
        name: The kind of work, as written into logs and metrics.
        limit_bytes: Most bytes that all holdings may have together.
        held_bytes: Bytes that they have.
        peak_bytes: Most bytes that they have had.
        evictable: The holdings that can be ended to make room.
    """

    __slots__ = (
        'evictable',
        'held_bytes',
        'limit_bytes',
        'name',
        'peak_bytes',
    )

    def __init__(self, name: str, limit_bytes: int) -> None:
        """Starts without holdings."""
        self.name = name
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.evictable: set[Holding] = set()

    def make_room(self, holding: 'Holding', size: int) -> bool:
        """Ends larger holdings until one has room to grow.

        Args:
            holding: The holding that is to grow.
            size: Its new size in bytes.

        Returns:
            Whether there is room. If no larger holding can be ended, there is
            none.
        """
        limit_bytes = self.limit_bytes
        if size > SMALL_BYTES:
            limit_bytes -= limit_bytes // RESERVE_DIVISOR
        while self.held_bytes - holding.size + size > limit_bytes:
            largest = max(self.evictable, key=size_of, default=None)
            if largest is None or largest.size <= size or largest is holding:
                self.report(holding, size)
                return False
            self.report(largest, largest.size)
            largest.end()
        return True

    def report(self, ended: 'Holding', size: int) -> None:
        """Logs and counts work that ends for want of memory.

        Args:
            ended: Its holding.
            size: The size that it has or asked for, in bytes.
        """
        EVICTIONS.labels(self.name).inc()
        LOG.warning(
            'memory limit',
            extra={
                'budget': self.name,
                'ended': str(ended.owner),
                'bytes': size,
                'held_bytes': self.held_bytes,
                'limit_bytes': self.limit_bytes,
            },
        )


class Holding:
    """The memory that one piece of work holds.

    It is released at the latest when the object is deleted, so that what
    refers to the memory should refer to its holding as well.

    Attributes:
        budget: The budget that it counts against.
        owner: What holds the memory; its text is written into the log.
        size: Bytes held.
        evict: Ends the work; None while it can't be ended.
    """

    __slots__ = ('budget', 'evict', 'owner', 'size')

    def __init__(self, budget: MemoryBudget, owner: object = '') -> None:
        """Starts empty."""
        self.budget = budget
        self.owner = owner
        self.size = 0
        self.evict: Callable[[], None] | None = None

    def resize(self, size: int) -> bool:
        """Changes the size if the budget allows it.

        Args:
            size: The new size in bytes.

        Returns:
            Whether there was room; if not, the size is unchanged.
        """
        budget = self.budget
        if size > self.size and not budget.make_room(self, size):
            return False
        budget.held_bytes += size - self.size
        self.size = size
        if budget.held_bytes > budget.peak_bytes:
            budget.peak_bytes = budget.held_bytes
        return True

    def allow_eviction(self, evict: Callable[[], None]) -> None:
        """Lets the work be ended to make room.

        Args:
            evict: Ends the work, which gives its memory back.
        """
        self.evict = evict
        self.budget.evictable.add(self)

    def forbid_eviction(self) -> None:
        """Keeps the work from being ended to make room."""
        self.evict = None
        self.budget.evictable.discard(self)

    def end(self) -> None:
        """Ends the work and releases its memory."""
        evict = self.evict
        self.release()
        if evict is not None:
            evict()

    def release(self) -> None:
        """Gives the memory back."""
        self.forbid_eviction()
        self.budget.held_bytes -= self.size
        self.size = 0

    def __del__(self) -> None:
        """Gives the memory back if its holder has not."""
        self.budget.held_bytes -= self.size


def size_of(holding: Holding) -> int:
    """Returns the bytes of a holding."""
    return holding.size
