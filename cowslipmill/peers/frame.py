"""The frame around each message between peers."""

from enum import IntEnum
from functools import reduce
from operator import or_
from typing import Any
from typing import Generic
from typing import TypeVar

from msgspec import Struct

from cowslipmill.peers.codec import Codec
from cowslipmill.peers.codec import Malformed

M = TypeVar('M')


class FrameKind(IntEnum):
    """What the receiver does with a message."""

    NOTIFICATION = 0
    CALL = 1
    REPLY = 2


class Frame(Struct, Generic[M], frozen=True, array_like=True):
    """One message with the number that ties a reply to its call.

    Attributes:
        kind: News, call or reply.
        call: Number of the call; 0 for news.
        message: The message, or None for a call that got no reply.
    """

    kind: FrameKind
    call: int
    message: M | None


class FrameCodec:
    """Encodes single frames and decodes batches of them.

    Attributes:
        frame: Codec of one frame.
        batch: Codec of what one message on a connection holds.
    """

    __slots__ = ('batch', 'frame')

    def __init__(self, kinds: tuple[type, ...], max_bytes: int) -> None:
        """Makes codecs for frames around some tagged structs."""
        union: Any = reduce(or_, kinds)
        self.frame: Codec[Any] = Codec(Frame[union], max_bytes=max_bytes)
        self.batch: Codec[Any] = Codec(
            list[Frame[union]], max_bytes=2 * max_bytes
        )

    @property
    def max_bytes(self) -> int:
        """Size bound of one message on a connection."""
        return self.batch.max_bytes

    def encode(self, frame: Frame[Any]) -> bytes:
        """Returns one frame as bytes.

        Raises:
            ValueError: If it exceeds the size bound.
        """
        return self.frame.encode(frame)

    def decode(self, raw: bytes) -> list[Frame[Any]] | Malformed:
        """Returns the frames of one message, or why there are none."""
        frames: list[Frame[Any]] | Malformed = self.batch.decode(raw)
        return frames


def make_frame_codec(kinds: tuple[type, ...], *, max_bytes: int) -> FrameCodec:
    """Returns the codec of frames around some tagged structs."""
    return FrameCodec(kinds, max_bytes)
