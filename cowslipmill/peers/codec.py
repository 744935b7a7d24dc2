"""Encodes typed messages as CBOR."""

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

M = TypeVar('M')

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are no message of the union.

    Attributes:
        reason: One sentence.
    """

    reason: str


class Codec(Generic[M]):
    """Turns the messages of one union into bytes and back.

    Attributes:
        union: The tagged union of `Struct` types.
        max_bytes: Size bound of one message.
    """

    __slots__ = ('max_bytes', 'union')

    def __init__(self, union: Any, *, max_bytes: int) -> None:
        """Keeps the union and the size bound."""
        self.union = union
        self.max_bytes = max_bytes

    def encode(self, message: M) -> bytes:
        """Returns a message as bytes.

        Raises:
            ValueError: If it exceeds the size bound.
        """
        raw = dumps(to_builtins(message, builtin_types=(bytes,)))
        if len(raw) > self.max_bytes:
            raise ValueError(f'{len(raw)} bytes exceed {self.max_bytes}')
        return raw

    def decode(self, raw: bytes) -> M | Malformed:
        """Returns the message, or why there is none."""
        if len(raw) > self.max_bytes:
            return Malformed(f'{len(raw)} bytes exceed {self.max_bytes}')
        try:
            value = loads(raw)
            message: M = convert(value, self.union, builtin_types=(bytes,))
        except (CBORDecodeError, ValidationError, ValueError) as error:
            return Malformed(str(error))
        return message
