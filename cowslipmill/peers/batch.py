"""Frames that are sent together as one message.

A connection costs more for each message than for each byte, so whatever is
queued when the sender wakes goes out as one CBOR array.
"""

from asyncio import Queue
from collections.abc import Iterable

# A CBOR array of up to 23 items has a header of one byte.
MAX_FRAMES = 23
ARRAY_HEADER = 0x80


def join_frames(frames: Iterable[bytes]) -> bytes:
    """Returns encoded frames, at most `MAX_FRAMES`, as one CBOR array."""
    parts = list(frames)
    return bytes([ARRAY_HEADER + len(parts)]) + b''.join(parts)


async def take_batch(queue: 'Queue[bytes]', max_bytes: int) -> bytes:
    """Waits for a frame and returns it with those queued behind it.

    Args:
        queue: Encoded frames, each within the bound of one message.
        max_bytes: A batch stops growing at half of this size.
    """
    frames = [await queue.get()]
    size = len(frames[0])
    while len(frames) < MAX_FRAMES and not queue.empty():
        if size > max_bytes // 2:
            break
        frames.append(queue.get_nowait())
        size += len(frames[-1])
    return join_frames(frames)
