"""Batches frames into WebSocket messages.

The cost per message on a connection outweighs the cost per byte, so all
frames that are queued when the sender runs are sent as one CBOR array.
"""

from asyncio import Queue
from collections.abc import Iterable

# The header of a CBOR array is a single byte for up to 23 items.
MAX_BATCH_FRAMES = 23
CBOR_ARRAY_HEADER = 0x80


def join_frames(frames: Iterable[bytes]) -> bytes:
    """Returns up to `MAX_BATCH_FRAMES` encoded frames as one CBOR array."""
    parts = list(frames)
    return bytes([CBOR_ARRAY_HEADER + len(parts)]) + b''.join(parts)


async def get_batch(queue: 'Queue[bytes]', max_bytes: int) -> bytes:
    """Waits for a frame and returns a batch of all that are queued.

    Args:
        queue: Encoded frames of at most half of `max_bytes` each.
        max_bytes: Maximum size of a batch in bytes. No frame is added once
            the batch is larger than half of it, so the next one still fits.

    Returns:
        The batch as a CBOR array.
    """
    frames = [await queue.get()]
    size = len(frames[0])
    while len(frames) < MAX_BATCH_FRAMES and not queue.empty():
        if size > max_bytes // 2:
            break
        frames.append(queue.get_nowait())
        size += len(frames[-1])
    return join_frames(frames)
