"""Encoded frames that wait to be sent to one peer."""

from asyncio import Event
from collections import deque
from sys import maxsize

from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.peers.batch import join_frames
from cowslipmill.peers.batch import MAX_BATCH_FRAMES

MAX_QUEUED_FRAMES = 1024
# Memory that a connection to a peer takes, and a queued frame beside its
# bytes.
CONNECTION_BYTES = 16_384
FRAME_OVERHEAD_BYTES = 64


class FrameQueue:
    """Frames in the order in which they are sent.

    Attributes:
        frames: The encoded frames.
        holding: The memory of the connection, of the frames and of the batch
            that is being sent.
        frame_bytes: Memory of the frames.
        added: Set while there are frames.
    """

    __slots__ = ('added', 'frame_bytes', 'frames', 'holding')

    def __init__(self, memory: MemoryBudget | None, owner: object) -> None:
        """Starts empty.

        Args:
            memory: The budget of all queues of the process; None for no
                limit.
            owner: What the frames are, as written into logs.
        """
        budget = memory or MemoryBudget('unlimited', maxsize)
        self.frames: deque[bytes] = deque()
        self.holding = Holding(budget, owner)
        self.frame_bytes = 0
        self.added = Event()

    def open(self) -> bool:
        """Counts the connection; returns whether there is memory for it."""
        return self.holding.resize(self.held_bytes)

    @property
    def held_bytes(self) -> int:
        """Memory of the connection and the frames."""
        return CONNECTION_BYTES + self.frame_bytes

    def empty(self) -> bool:
        """Returns whether no frame waits."""
        return not self.frames

    def put(self, raw: bytes) -> bool:
        """Appends a frame; returns False if there is no room for it."""
        if len(self.frames) >= MAX_QUEUED_FRAMES:
            return False
        size = len(raw) + FRAME_OVERHEAD_BYTES
        if not self.holding.resize(self.holding.size + size):
            return False
        self.frames.append(raw)
        self.frame_bytes += size
        self.added.set()
        return True

    async def take_batch(self, max_bytes: int) -> bytes:
        """Waits for a frame and returns a batch of all that are queued.

        What it holds is given back by the next call or by `settle`.

        Args:
            max_bytes: Maximum size of a batch in bytes; frames have at most
                half of it. No frame is added once the batch is larger than
                half of it, so the next one still fits.

        Returns:
            The batch as a CBOR array.
        """
        self.settle()
        await self.added.wait()
        batch = [self.take()]
        size = len(batch[0])
        while self.frames and len(batch) < MAX_BATCH_FRAMES:
            if size > max_bytes // 2:
                break
            batch.append(self.take())
            size += len(batch[-1])
        return join_frames(batch)

    def take(self) -> bytes:
        """Removes and returns the first frame, which still counts as held."""
        raw = self.frames.popleft()
        self.frame_bytes -= len(raw) + FRAME_OVERHEAD_BYTES
        if not self.frames:
            self.added.clear()
        return raw

    def settle(self) -> None:
        """Gives back the memory of the batch that was sent."""
        if self.holding.size > self.held_bytes:
            self.holding.resize(self.held_bytes)

    def clear(self) -> int:
        """Drops all frames and returns how many there were."""
        count = len(self.frames)
        self.frames.clear()
        self.frame_bytes = 0
        self.added.clear()
        self.settle()
        return count
