"""Tests of frames between peers of different builds.

Guard against one message that only newer peers know taking the messages
beside it along.
"""

from typing import Any

from cbor2 import dumps
from hypothesis import given
from hypothesis import strategies
from msgspec import Struct
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from cowslipmill.peers.batch import join_frames
from cowslipmill.peers.codec import Malformed
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.peers.frame import Unreadable

MAX_BYTES = 4_096


class Known(Struct, frozen=True, array_like=True, tag='known'):
    """A message that both builds know."""

    number: int


class Extended(Struct, frozen=True, array_like=True, tag='known'):
    """The same message in a newer build, with another field."""

    number: int
    note: str = ''


class New(Struct, frozen=True, array_like=True, tag='new'):
    """A message that only the newer build knows."""

    number: int


OLDER = make_frame_codec((Known,), max_bytes=MAX_BYTES)
NEWER = make_frame_codec((Extended, New), max_bytes=MAX_BYTES)


def notify(message: Any) -> bytes:
    """Returns the newer build's frame of a notification."""
    return NEWER.encode(Frame(FrameKind.NOTIFICATION, 0, message))


def decode_by_older(*frames: bytes) -> list[Frame[Any]]:
    """Returns what the older build makes of a batch."""
    decoded = OLDER.decode(join_frames(frames))
    assert not isinstance(decoded, Malformed)
    return decoded


def test_an_unknown_message_takes_no_others_along() -> None:
    """Those before and after it are handled."""
    frames = decode_by_older(
        notify(Extended(1)), notify(New(2)), notify(Extended(3))
    )
    first, unknown, last = (frame.message for frame in frames)
    assert_that((first, last), Equals((Known(1), Known(3))))
    assert_that(unknown, IsInstance(Unreadable))


def test_an_unknown_call_keeps_its_id() -> None:
    """It can be replied to, so that the newer peer doesn't wait."""
    call = NEWER.encode(Frame(FrameKind.CALL, 7, New(2)))
    (frame,) = decode_by_older(call)
    assert_that((frame.kind, frame.call_id), Equals((FrameKind.CALL, 7)))
    assert_that(frame.message, IsInstance(Unreadable))


def test_a_new_field_of_a_known_message_is_ignored() -> None:
    """An older peer reads the fields that it knows."""
    (frame,) = decode_by_older(notify(Extended(1, 'more')))
    assert_that(frame.message, Equals(Known(1)))


def test_a_field_that_an_older_peer_lacks_has_its_default() -> None:
    """A newer peer reads what the older one sends."""
    raw = OLDER.encode(Frame(FrameKind.NOTIFICATION, 0, Known(1)))
    frames = NEWER.decode(join_frames([raw]))
    assert not isinstance(frames, Malformed)
    assert_that(frames[0].message, Equals(Extended(1, '')))


def test_what_is_no_frame_is_left_out() -> None:
    """The frames beside it are handled."""
    frames = decode_by_older(dumps(['no', 'frame']), notify(Extended(1)))
    assert_that([frame.message for frame in frames], Equals([Known(1)]))


@given(strategies.binary(max_size=200))
def test_no_bytes_raise(raw: bytes) -> None:
    """Whatever a peer sends."""
    decoded: object = OLDER.decode(raw)
    assert isinstance(decoded, (list, Malformed))
