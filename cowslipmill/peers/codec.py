"""Encodes and decodes typed messages as CBOR."""

from dataclasses import dataclass
from typing import Any
from typing import Generic
from typing import TypeVar

from cbor2 import CBORDecodeError
from cbor2 import dumps
from cbor2 import loads
from msgspec import convert
from msgspec import to_builtins
from msgspec import ValidationError

from cowslipmill.peers.decodedsize import measure_decoded

M = TypeVar('M')

PROTOCOL_VERSION = 1
# Most memory that a decoded message may take.
MAX_DECODED_BYTES = 33_554_432
# Most memory that one encoded byte takes once it is decoded. Messages that
# can't reach the limit aren't measured.
MAX_DECODED_FACTOR = 80


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that could not be decoded to a message type of the union.

    Attributes:
        reason: Why decoding failed, in one sentence.
    """

    reason: str


class Codec(Generic[M]):
    """Encodes and decodes the messages of one union of types.

    Attributes:
        union: The tagged union of `Struct` types.
        max_bytes: Maximum size of one encoded message in bytes.
    """

    __slots__ = ('max_bytes', 'union')

    def __init__(self, union: Any, *, max_bytes: int) -> None:
        """Initializes the codec.

        Args:
            union: The tagged union of `Struct` types.
            max_bytes: Maximum size of one encoded message in bytes.
        """
        self.union = union
        self.max_bytes = max_bytes

    def encode(self, message: M) -> bytes:
        """Returns a message encoded as CBOR.

        Raises:
            ValueError: If the encoded message is larger than `max_bytes`.
        """
        raw = dumps(to_builtins(message, builtin_types=(bytes,)))
        if len(raw) > self.max_bytes:
            raise ValueError(
                f'{len(raw)} bytes exceed the message limit of'
                f' {self.max_bytes}'
            )
        return raw

    def decode(self, raw: bytes) -> M | Malformed:
        """Returns the decoded message, or `Malformed` with the reason."""
        value = self.parse(raw)
        if isinstance(value, Malformed):
            return value
        return self.convert(value)

    def parse(self, raw: bytes) -> Any:
        """Returns what bytes encode, in builtin types, or `Malformed`."""
        if len(raw) > self.max_bytes:
            return Malformed(f'{len(raw)} bytes exceed {self.max_bytes}')
        if (
            len(raw) * MAX_DECODED_FACTOR > MAX_DECODED_BYTES
            and measure_decoded(raw, MAX_DECODED_BYTES) > MAX_DECODED_BYTES
        ):
            return Malformed('too many values')
        try:
            return loads(raw)
        except (CBORDecodeError, ValueError) as error:
            return Malformed(str(error))

    def convert(self, value: Any) -> M | Malformed:
        """Returns the message of builtin types, or `Malformed`."""
        try:
            message: M = convert(value, self.union, builtin_types=(bytes,))
        except (ValidationError, ValueError) as error:
            return Malformed(str(error))
        return message
