"""How much is read from a connection at a time."""

from asyncio import BaseTransport

# asyncio reads into a new buffer of 256 KiB each time, which the allocator
# takes from the system and gives back: up to a third of the processor time of
# a short message. Buffers of this size are reused.
READ_BYTES = 65_536


def limit_read_size(transport: BaseTransport) -> None:
    """Has a transport read at most `READ_BYTES` at a time."""
    if hasattr(transport, 'max_size'):
        transport.max_size = READ_BYTES
