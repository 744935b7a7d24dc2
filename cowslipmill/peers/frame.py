"""Frames that carry the messages between peers."""

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
    """How a receiver handles the message of a frame."""

    NOTIFICATION = 0
    CALL = 1
    REPLY = 2


class Unreadable(Struct, frozen=True):
    """Takes the place of a message that can't be decoded.

    It is malformed, or of a type that only newer peers know.

    Attributes:
        reason: Why decoding failed, in one sentence.
    """

    reason: str


class Frame(Struct, Generic[M], frozen=True, array_like=True):
    """One message with the ID that matches a reply to its call.

    Attributes:
        kind: Notification, call or reply.
        call_id: ID of the call, unique per connection; 0 for a notification.
        message: The message; None in a reply if the call failed or has no
            result.
    """

    kind: FrameKind
    call_id: int
    message: M | None


class FrameCodec:
    """Encodes single frames and decodes batches of frames.

    Attributes:
        frame_codec: Codec of one frame.
        batch_codec: Codec of a batch, the list of frames that one WebSocket
            message holds. Its size limit is twice that of a frame.
        envelope_codec: Codec of a frame with any message.
    """

    __slots__ = ('batch_codec', 'envelope_codec', 'frame_codec')

    def __init__(
        self, message_types: tuple[type, ...], max_bytes: int
    ) -> None:
        """Creates the codecs.

        Args:
            message_types: Tagged `Struct` types that a frame may carry.
            max_bytes: Maximum size of one encoded frame in bytes.
        """
        union: Any = reduce(or_, message_types)
        self.frame_codec: Codec[Any] = Codec(Frame[union], max_bytes=max_bytes)
        self.batch_codec: Codec[Any] = Codec(
            list[Frame[union]], max_bytes=2 * max_bytes
        )
        self.envelope_codec: Codec[Any] = Codec(
            Frame[Any], max_bytes=max_bytes
        )

    @property
    def max_bytes(self) -> int:
        """Maximum size of one WebSocket message in bytes."""
        return self.batch_codec.max_bytes

    def encode(self, frame: Frame[Any]) -> bytes:
        """Returns one encoded frame.

        Raises:
            ValueError: If the frame is larger than the size limit.
        """
        return self.frame_codec.encode(frame)

    def decode(self, raw: bytes) -> list[Frame[Any]] | Malformed:
        """Returns the frames of a batch, or `Malformed` with the reason.

        A frame whose message can't be decoded holds `Unreadable` in its
        place, so that the other frames of the batch aren't lost with it.
        """
        value = self.batch_codec.parse(raw)
        if isinstance(value, Malformed):
            return value
        frames: list[Frame[Any]] | Malformed = self.batch_codec.convert(value)
        if not isinstance(frames, Malformed) or not isinstance(value, list):
            return frames
        decoded = [self.decode_frame(item) for item in value]
        return [frame for frame in decoded if frame is not None] or frames

    def decode_frame(self, value: Any) -> Frame[Any] | None:
        """Returns a frame of builtin types; None if it is no frame."""
        frame: Frame[Any] | Malformed = self.frame_codec.convert(value)
        if not isinstance(frame, Malformed):
            return frame
        envelope = self.envelope_codec.convert(value)
        if isinstance(envelope, Malformed):
            return None
        return Frame(envelope.kind, envelope.call_id, Unreadable(frame.reason))


def make_frame_codec(
    message_types: tuple[type, ...], *, max_bytes: int
) -> FrameCodec:
    """Returns a codec for frames that carry the given message types.

    Args:
        message_types: Tagged `Struct` types.
        max_bytes: Maximum size of one encoded frame in bytes.
    """
    return FrameCodec(message_types, max_bytes)
