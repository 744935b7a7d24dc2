"""How much memory an encoded message takes once it is decoded.

A list or object of one to three bytes takes up to some 240 bytes, so that a
message of a few megabytes could fill the process.
"""

# Memory of one value, with its place in the list that holds it.
VALUE_BYTES = 72
# Memory of a list, map, set or tagged value, with one entry.
CONTAINER_BYTES = 240
# A text takes four bytes for each character if one character needs them.
MAX_BYTES_PER_CHARACTER = 4

# The parts of the first byte of a CBOR item (RFC 8949, section 3).
MAJOR_TYPE_SHIFT = 5
ARGUMENT_MASK = 0x1F
BYTE_STRING = 2
TEXT_STRING = 3
CONTAINERS = (4, 5, 6)
# Smaller arguments are the value itself, or the exponent of its width.
FIRST_WIDTH = 24
FIRST_RESERVED = 28


def measure_decoded(raw: bytes, limit_bytes: int) -> int:
    """Returns an upper bound of the memory that decoded CBOR takes.

    Strings are skipped, so that a message with a large body takes no longer
    than one with a small body.

    Args:
        raw: The encoded message.
        limit_bytes: Measuring ends once this is exceeded.
    """
    position = 0
    total = 0
    while position < len(raw) and total <= limit_bytes:
        major_type = raw[position] >> MAJOR_TYPE_SHIFT
        argument = raw[position] & ARGUMENT_MASK
        position += 1
        if FIRST_WIDTH <= argument < FIRST_RESERVED:
            end = position + (1 << (argument - FIRST_WIDTH))
            argument = int.from_bytes(raw[position:end], 'big')
            position = end
        elif argument >= FIRST_RESERVED:
            argument = 0
        if major_type in CONTAINERS:
            total += CONTAINER_BYTES
            continue
        total += VALUE_BYTES
        if major_type == BYTE_STRING:
            total += argument
            position += argument
        elif major_type == TEXT_STRING:
            total += argument * MAX_BYTES_PER_CHARACTER
            position += argument
    return total
