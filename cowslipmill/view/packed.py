"""Compresses a configuration for other hosts.

For configurations with thousands of routes that one host sends to all others
of its failure domain over a slow link. A host compresses each version once.
"""

from zlib import compress
from zlib import decompressobj
from zlib import error as ZlibError

from msgspec import Struct

from cowslipmill.peers.codec import Codec
from cowslipmill.peers.codec import Malformed
from cowslipmill.view.configuration import Configuration

# The fastest level. Repeated names compress nearly as well as at the best one.
COMPRESSION_LEVEL = 1
# Size limit of an uncompressed configuration, four times the largest value
# that a store accepts.
MAX_CONFIGURATION_BYTES = 4_194_304
CODEC: Codec[Configuration] = Codec(
    Configuration, max_bytes=MAX_CONFIGURATION_BYTES
)


class PackedConfiguration(Struct, frozen=True, array_like=True, tag='packed'):
    """One version of the configuration, compressed.

    Attributes:
        version: The configuration's version.
        data: The configuration's encoding, compressed by zlib.
    """

    version: int
    data: bytes


def pack(configuration: Configuration) -> PackedConfiguration:
    """Compresses a configuration."""
    raw = CODEC.encode(configuration)
    return PackedConfiguration(
        configuration.version, compress(raw, COMPRESSION_LEVEL)
    )


def unpack(packed: PackedConfiguration) -> Configuration | Malformed:
    """Decompresses a configuration.

    Returns:
        The configuration, or the reason why the bytes don't hold one of at
        most `MAX_CONFIGURATION_BYTES`.
    """
    decompressor = decompressobj()
    try:
        raw = decompressor.decompress(packed.data, MAX_CONFIGURATION_BYTES)
    except ZlibError as error:
        return Malformed(str(error))
    if decompressor.unconsumed_tail:
        return Malformed(f'more than {MAX_CONFIGURATION_BYTES} bytes')
    return CODEC.decode(raw)
