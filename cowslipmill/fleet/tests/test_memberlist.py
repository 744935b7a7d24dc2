"""Tests of the member list: ranking, backoff and digests."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import Not

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import Member


def make_member(number: int, started_ms: int = 1) -> Member:
    return Member(
        f'host-{number}',
        f'domain-{number % 3}',
        ('127.0.0.1', 7000 + number),
        started_ms,
    )


@pytest.fixture
def member_list() -> MemberList:
    member_list = MemberList(make_member(0))
    member_list.add(make_member(number) for number in range(1, 9))
    return member_list


def ranked_names(member_list: MemberList, now: float = 0.0) -> list[str]:
    return [m.name for m in member_list.ranked_members('registry', '', now)]


def test_hosts_that_know_each_other_rank_alike(
    member_list: MemberList,
) -> None:
    other = MemberList(make_member(5))
    other.add(make_member(number) for number in range(9))
    assert_that(ranked_names(other), Equals(ranked_names(member_list)))


def test_the_ranking_of_a_domain_holds_only_its_hosts(
    member_list: MemberList,
) -> None:
    domains = {
        m.failure_domain
        for m in member_list.ranked_members('x', 'domain-1', 0.0)
    }
    assert_that(domains, Equals({'domain-1'}))


def test_an_unresponsive_host_is_left_out_during_its_backoff(
    member_list: MemberList,
) -> None:
    first = ranked_names(member_list)[0]
    name = first if first != 'host-0' else ranked_names(member_list)[1]
    member_list.back_off(name, 1.0)
    assert_that(ranked_names(member_list, 1.1), Not(Contains(name)))
    assert_that(ranked_names(member_list, 1.3), Contains(name))


def test_the_backoff_doubles_with_repeated_failures(
    member_list: MemberList,
) -> None:
    member_list.back_off('host-3', 1.0)
    member_list.back_off('host-3', 1.3)
    assert_that(ranked_names(member_list, 1.7), Not(Contains('host-3')))
    member_list.back_off('host-3', 60.0)
    assert_that(ranked_names(member_list, 60.3), Contains('host-3'))


def test_this_host_never_backs_off_from_itself(
    member_list: MemberList,
) -> None:
    member_list.back_off('host-0', 1.0)
    assert_that(ranked_names(member_list, 1.0), Contains('host-0'))


def test_a_leaving_host_is_left_out_until_it_restarts(
    member_list: MemberList,
) -> None:
    member_list.mark_leaving('host-4', 1)
    assert_that(ranked_names(member_list), Not(Contains('host-4')))
    member_list.add([make_member(4, started_ms=2)])
    assert_that(ranked_names(member_list), Contains('host-4'))


def test_a_late_leaving_message_does_not_affect_a_restarted_host(
    member_list: MemberList,
) -> None:
    member_list.add([make_member(4, started_ms=2)])
    member_list.mark_leaving('host-4', 1)
    assert_that(ranked_names(member_list), Contains('host-4'))


def test_the_digest_is_equal_for_equal_members(
    member_list: MemberList,
) -> None:
    other = MemberList(make_member(1))
    other.add(make_member(number) for number in (0, 2, 3, 4, 5, 6, 7, 8))
    assert_that(other.digest(), Equals(member_list.digest()))
    other.add([make_member(9)])
    assert_that(other.digest() == member_list.digest(), Equals(False))
