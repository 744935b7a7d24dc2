"""A configuration as hosts hand it to each other: compressed, packed once.

Answers the load pattern of a configuration with thousands of routes that
one host passes to all others of its failure domain over a slow link.
"""

from zlib import compress
from zlib import decompressobj
from zlib import error as ZlibError

from msgspec import Struct

from cowslipmill.peers.codec import Codec
from cowslipmill.peers.codec import Malformed
from cowslipmill.view.configuration import Configuration

# Fast and nearly as small as the best level, for names that repeat.
LEVEL = 1
# Bound of a configuration, four times the largest value of a store.
MAX_BYTES = 4_194_304
CODEC: Codec[Configuration] = Codec(Configuration, max_bytes=MAX_BYTES)


class PackedConfiguration(Struct, frozen=True, array_like=True, tag='packed'):
    """One version of the configuration, compressed.

    Attributes:
        version: The version.
        data: The compressed bytes.
    """

    version: int
    data: bytes


def pack(configuration: Configuration) -> PackedConfiguration:
    """Returns a configuration for other hosts."""
    raw = CODEC.encode(configuration)
    return PackedConfiguration(configuration.version, compress(raw, LEVEL))


def unpack(packed: PackedConfiguration) -> Configuration | Malformed:
    """Returns the configuration, or why there is none."""
    unpacker = decompressobj()
    try:
        raw = unpacker.decompress(packed.data, MAX_BYTES)
    except ZlibError as error:
        return Malformed(str(error))
    if unpacker.unconsumed_tail:
        return Malformed(f'more than {MAX_BYTES} bytes')
    return CODEC.decode(raw)
