"""The frame around each message between peers."""

from enum import IntEnum
from functools import reduce
from operator import or_
from typing import Any
from typing import Generic
from typing import TypeVar

from msgspec import Struct

from cowslipmill.peers.codec import Codec

M = TypeVar('M')


class Kind(IntEnum):
    """What the receiver does with a message."""

    NEWS = 0
    CALL = 1
    REPLY = 2


class Frame(Struct, Generic[M], frozen=True, array_like=True):
    """One message with the number that ties a reply to its call.

    Attributes:
        kind: News, call or reply.
        call: Number of the call; 0 for news.
        message: The message, or None for a call that got no reply.
    """

    kind: Kind
    call: int
    message: M | None


def frame_codec(kinds: tuple[type, ...], *, max_bytes: int) -> Codec[Any]:
    """Returns the codec of frames around some tagged structs."""
    union: Any = reduce(or_, kinds)
    return Codec(Frame[union], max_bytes=max_bytes)
