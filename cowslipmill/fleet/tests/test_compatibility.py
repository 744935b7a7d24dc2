"""Tests of what hosts of different builds have to compute alike.

Guard against a newer build that ranks hosts or hashes records in another way
than those that it runs beside: there would be two coordinators for each
server, and comparisons without end.
"""

from random import Random
from typing import Any

import msgspec
from msgspec import Struct
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import AskLease
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.messages import MESSAGES
from cowslipmill.fleet.messages import News
from cowslipmill.fleet.rpc import MAX_MESSAGE_BYTES
from cowslipmill.forwarding.fingerprints import fingerprints_of
from cowslipmill.http1.message import Request
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.runtime.names import Name
from cowslipmill.suspects.suspects import SuspectRequests
from cowslipmill.view.change import ConfigurationChange
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.packed import PackedConfiguration
from cowslipmill.view.reader import ReadResult
from cowslipmill.view.revision import make_revision
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.tests.conftest import make_record
from cowslipmill.view.view import View


def make_member_list() -> MemberList:
    """Returns seven hosts in two failure domains."""
    first, *others = (
        Member(
            f'host-{number}',
            'domain-a' if number % 2 else 'domain-b',
            (f'10.0.0.{number}', 80),
            number,
        )
        for number in range(1, 8)
    )
    member_list = MemberList(first)
    member_list.add(others)
    return member_list


def test_members_have_the_same_digest() -> None:
    """Else each comparison would send all members."""
    assert_that(make_member_list().digest(), Equals(140021945859448))


def test_coordinators_and_readers_rank_alike() -> None:
    """Else two hosts would coordinate the same servers."""
    members = make_member_list()
    coordinators = members.ranked_members('catalogue', 'domain-a', 0.0)
    readers = members.ranked_members('store', '', 0.0)
    coordinator_numbers = ''.join(m.name[-1] for m in coordinators)
    reader_numbers = ''.join(m.name[-1] for m in readers)
    assert_that(coordinator_numbers, Equals('3157'))
    assert_that(reader_numbers, Equals('7465123'))


def test_suspect_requests_have_the_same_digest() -> None:
    """Else each comparison would send all records."""
    suspects = SuspectRequests()
    suspects.report_crash(b'f' * 8, 'one/5', 1.0)
    suspects.report_crash(b'f' * 8, 'two/6', 2.0)
    assert_that(suspects.digest(), Equals(252896996401473))


def test_requests_have_the_same_fingerprint() -> None:
    """Else one build would send what another one knows to crash servers."""
    headers = [(b'host', b'one.example'), (b'x-request-id', b'7')]
    request = Request(b'POST', b'/book/1?x=2', headers, b'body')
    exact = fingerprints_of(request).exact.hex()
    assert_that(exact, Equals('c47924028491648b3de39442'))


def test_revisions_order_alike_over_eras() -> None:
    """Else a build would take an older entry for the newer one."""
    assert_that(make_revision(1, 7), Equals(17592186044423))


class OldNews(Struct, frozen=True, array_like=True, tag='news'):
    """`News` as of build 44f3e38."""

    since: int
    revision: int
    age_s: float
    events: tuple[
        ConfigurationChange
        | PackedConfiguration
        | ServerUpdated
        | ServerRemoved,
        ...,
    ]
    reader: Name
    relay: bool


class OldSnapshot(Struct, frozen=True, array_like=True, tag='snapshot'):
    """`Snapshot` as of build 44f3e38."""

    revision: int
    age_s: float
    configuration: PackedConfiguration | None
    servers: tuple[tuple[ServerRecord, int], ...]
    removed: tuple[tuple[Name, int], ...]
    departed: tuple[tuple[Name, int], ...] = ()


CODEC = make_frame_codec(MESSAGES, max_bytes=MAX_MESSAGE_BYTES)
OLD_CODEC = make_frame_codec(
    (OldNews, OldSnapshot), max_bytes=MAX_MESSAGE_BYTES
)


class StoredNews:
    """What a host sends after a read of the store.

    Attributes:
        messages: The messages.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.messages: list[Any] = []

    def register(self, message_type: type, handler: Any) -> None:
        """Ignores a handler."""

    def send_all(self, members: list[Member], message: Any) -> None:
        """Keeps a message."""
        self.messages.append(message)


def make_view() -> View:
    """Returns a view with a server and an evacuated failure domain."""
    view = View()
    events: list[StoreEvent] = [
        ServerUpdated(make_record(), 2),
        EvacuationChanged('domain-b', 3, True),
    ]
    view.apply_events(events, 0.0)
    view.advance(3, 0.0)
    return view


def pass_through(message: Any, sent_by: Any, read_by: Any) -> Any:
    """Returns a message as another build reads it."""
    frame = Frame(FrameKind.NOTIFICATION, 0, message)
    raw = sent_by.frame_codec.encode(frame)
    decoded = read_by.frame_codec.decode(raw)
    assert isinstance(decoded, Frame), decoded
    return decoded.message


async def read_and_publish() -> News:
    """Returns the update of a host that has read of an evacuation."""
    rpc: Any = StoredNews()
    gossip = Gossip(
        make_member_list(),
        make_view(),
        rpc,
        (),
        lambda events, source: None,
        lambda name: None,
        lambda: 0.0,
        Random(1),
    )
    events: list[StoreEvent] = [
        ServerUpdated(make_record(), 2),
        EvacuationChanged('domain-b', 3, True),
    ]
    gossip.publish(ReadResult(1, 3, events, events))
    message: News = rpc.messages[0]
    return message


async def test_the_previous_build_reads_updates_with_evacuations() -> None:
    """An event that it doesn't know would have it drop the whole update."""
    news = await read_and_publish()
    assert_that(news.evacuations, Equals(make_view().snapshot(0).evacuations))
    read = pass_through(news, CODEC, OLD_CODEC)
    assert_that(read.events, Equals((ServerUpdated(make_record(), 2),)))
    assert_that((read.since, read.revision), Equals((1, 3)))


def test_the_previous_build_reads_snapshots_with_evacuations() -> None:
    """A host of it that starts would get no view."""
    read = pass_through(make_view().snapshot(0.0), CODEC, OLD_CODEC)
    assert_that(read.servers, Equals(((make_record(), 2),)))
    assert_that(read.revision, Equals(3))


async def test_what_the_previous_build_passes_on_undoes_no_evacuation() -> (
    None
):
    """It leaves out the field that it doesn't know."""
    relayed = pass_through(
        pass_through(await read_and_publish(), CODEC, OLD_CODEC),
        OLD_CODEC,
        CODEC,
    )
    snapshot = pass_through(
        pass_through(make_view().snapshot(0.0), CODEC, OLD_CODEC),
        OLD_CODEC,
        CODEC,
    )
    for message in (relayed, snapshot):
        assert_that(message.evacuations, Equals(()))
        assert_that(message.evacuations_until, Equals(0))
    view = make_view()
    view.merge(snapshot, 0.0)
    events = view.evacuations.events_of_list(relayed.evacuations, 0)
    assert_that(events, Equals([]))
    assert_that(view.evacuations.active, Equals({'domain-b'}))


def test_a_lease_request_of_the_previous_build_is_read() -> None:
    """Else hosts of the previous build would get no slots from this one."""
    fields = [
        'ask-lease',
        ['host-1', 1],
        'catalogue',
        'domain-a',
        'lookups',
        1,
        0.9,
        3.4,
        1.0,
        [],
        None,
    ]
    message = msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields), type=AskLease
    )
    assert_that(message.asked_before_s, Equals(0.0))


def test_a_longer_refusal_is_read_by_the_previous_build() -> None:
    """Else refusals would look like lost calls during an upgrade."""

    class PreviousRefusal(
        msgspec.Struct, frozen=True, array_like=True, tag='refusal'
    ):
        key: tuple[str, int]
        reason: str
        retry_after_s: float
        waiting: int
        coordinator: tuple[str, int] = ('', 0)

    refusal = Refusal(
        ('host-1', 1), 'overloaded', 0.5, 3, work_s=0.3, room=2.0
    )
    encoded = msgspec.msgpack.encode(refusal)
    previous = msgspec.msgpack.decode(encoded, type=PreviousRefusal)
    assert_that(previous.retry_after_s, Equals(0.5))
