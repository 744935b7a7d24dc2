"""Slows down senders of many small chunks.

Each chunk takes processor time whatever its size, so that a few senders could
keep the process busy with bodies that are far from their size limit.
"""

# Chunks of one message that aren't slowed down.
FREE_CHUNKS = 4_096
# Pause in reading for each further chunk, some thousand times as long as
# parsing takes.
PAUSE_PER_CHUNK_S = 0.001


class ChunkPacer:
    """Counts the chunks of one message.

    Attributes:
        chunks: Chunks received.
        paced_chunks: Those for which reading has paused, or needn't.
    """

    __slots__ = ('chunks', 'paced_chunks')

    def __init__(self) -> None:
        """Starts without chunks."""
        self.chunks = 0
        self.paced_chunks = FREE_CHUNKS

    def take_pause_s(self) -> float:
        """Returns for how long to read nothing, in seconds.

        That is for the chunks received since the last call.
        """
        if self.chunks <= self.paced_chunks:
            return 0.0
        new_chunks = self.chunks - self.paced_chunks
        self.paced_chunks = self.chunks
        return new_chunks * PAUSE_PER_CHUNK_S
