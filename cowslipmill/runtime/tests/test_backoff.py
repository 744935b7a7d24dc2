"""Tests of delays that double with each failure.

Guard against a failure that lasts for minutes and then ends the process.
"""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.fleet.memberlist import MAX_BACKOFF_S
from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import Member
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.tests.conftest import make_record
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.peers.link import Link
from cowslipmill.peers.link import MAX_RECONNECT_DELAY_S
from cowslipmill.runtime.backoff import doubled
from cowslipmill.view import readschedule
from cowslipmill.view.readschedule import ReadSchedule

MANY_FAILURES = 3_000


@pytest.mark.parametrize(
    ('doublings', 'delay_s'), [(0, 0.5), (1, 1.0), (3, 4.0), (5_000, 30.0)]
)
def test_a_delay_doubles_up_to_its_maximum(
    doublings: int, delay_s: float
) -> None:
    """Whatever the number of doublings."""
    assert_that(doubled(0.5, doublings, 30.0), Equals(delay_s))


def test_a_store_that_is_away_for_an_hour_is_read_again() -> None:
    """It is read each 1.2 s at the most meanwhile."""
    schedule = ReadSchedule()
    for number in range(MANY_FAILURES):
        schedule.record_result(failed=True, now=float(number))
    next_read_at = schedule.next_read_at(0.0, 0)
    last_s = MANY_FAILURES - 1.0
    assert_that(next_read_at, Equals(last_s + readschedule.MAX_BACKOFF_S))


def test_a_host_that_is_away_for_hours_is_used_again() -> None:
    """Each failed call to it counts."""
    members = MemberList(Member('one', 'a', ('127.0.0.1', 1), 1))
    members.add([Member('two', 'a', ('127.0.0.1', 2), 1)])
    now = 0.0
    for _ in range(MANY_FAILURES):
        now = members.states['two'].backoff_until
        members.back_off('two', now)
    assert_that(
        members.states['two'].backoff_until, Equals(now + MAX_BACKOFF_S)
    )


async def test_a_link_to_a_host_that_is_gone_is_opened_again() -> None:
    """Some nine minutes of attempts don't end it."""
    codec = make_frame_codec((Member,), max_bytes=4_096)
    link = Link('127.0.0.1:1', 'one', ('key',), codec, Random(1))
    link.failures = MANY_FAILURES
    assert_that(link.choose_delay_s() <= MAX_RECONNECT_DELAY_S, Equals(True))


def test_a_server_that_never_responds_is_probed_again() -> None:
    """Each failed probe blocks it for longer, up to a maximum."""
    server = ServerSlots(make_record(1), 0.0)
    for _ in range(MANY_FAILURES):
        server.block(0.0)
    assert_that(server.blocked_until > 0.0, Equals(True))
