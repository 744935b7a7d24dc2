"""Tests of what hosts of different builds have to compute alike.

Guard against a newer build that ranks hosts or hashes records in another way
than those that it runs beside: there would be two coordinators for each
server, and comparisons without end.
"""

import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import AskLease
from cowslipmill.fleet.messages import Member
from cowslipmill.forwarding.fingerprints import fingerprints_of
from cowslipmill.http1.message import Request
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.suspects.suspects import SuspectRequests
from cowslipmill.view.revision import make_revision


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
