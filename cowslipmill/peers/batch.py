"""Batches frames into WebSocket messages.

The cost per message on a connection outweighs the cost per byte, so all
frames that are queued when the sender runs are sent as one CBOR array.
"""

from collections.abc import Iterable

# The header of a CBOR array is a single byte for up to 23 items.
MAX_BATCH_FRAMES = 23
CBOR_ARRAY_HEADER = 0x80


def join_frames(frames: Iterable[bytes]) -> bytes:
    """Returns up to `MAX_BATCH_FRAMES` encoded frames as one CBOR array."""
    parts = list(frames)
    return bytes([CBOR_ARRAY_HEADER + len(parts)]) + b''.join(parts)
