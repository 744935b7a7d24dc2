"""Tests of the member list: ranking, backoff and digests."""

from msgspec.structs import replace
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


def make_uneven_list(
    processors: dict[str, float],
) -> MemberList:
    """Returns nine hosts with the processor time given by name."""
    members = [
        replace(member, processor=processors.get(member.name, 0.43))
        for member in map(make_member, range(9))
    ]
    member_list = MemberList(members[0])
    member_list.add(members[1:])
    return member_list


def names_by_capacity(member_list: MemberList) -> list[str]:
    ranked = member_list.ranked_members('registry', '', 0.0, by_capacity=True)
    return [member.name for member in ranked]


def test_hosts_with_more_processor_time_coordinate() -> None:
    """A small host that coordinates a busy service replies late."""
    member_list = make_uneven_list({'host-3': 2.15, 'host-7': 2.15})
    ranked = names_by_capacity(member_list)
    hashed = ranked_names(member_list)
    others = [name for name in hashed if name not in ('host-3', 'host-7')]
    assert_that(set(ranked[:2]), Equals({'host-3', 'host-7'}))
    assert_that(ranked[2:], Equals(others))


def test_hosts_of_similar_capacity_keep_their_order() -> None:
    """All duties would gather on the host that is slightly larger."""
    member_list = make_uneven_list({'host-3': 0.49})
    assert_that(
        names_by_capacity(member_list), Equals(ranked_names(member_list))
    )


def test_capacity_counts_only_if_all_hosts_tell_theirs() -> None:
    """Builds that rank differently would coordinate the same servers."""
    member_list = make_uneven_list({'host-3': 2.15, 'host-5': 0.0})
    assert_that(
        names_by_capacity(member_list), Equals(ranked_names(member_list))
    )


def test_capacity_is_learned_after_an_older_build_left_it_out() -> None:
    """Hashing alone would rank the hosts until the next restart."""
    member_list = make_uneven_list({'host-3': 2.15, 'host-5': 0.0})
    names_by_capacity(member_list)
    member_list.add([replace(make_member(5), processor=0.43)])
    assert_that(names_by_capacity(member_list)[0], Equals('host-3'))


def test_a_host_that_leaves_does_not_count() -> None:
    """An older build that was replaced would keep ranking by hashing."""
    member_list = make_uneven_list({'host-3': 2.15, 'host-5': 0.0})
    names_by_capacity(member_list)
    member_list.mark_leaving('host-5', 1)
    assert_that(names_by_capacity(member_list)[0], Equals('host-3'))


def test_a_host_of_another_domain_counts() -> None:
    """The older build there would coordinate by hashing."""
    member_list = make_uneven_list({'host-4': 2.15, 'host-5': 0.0})
    ranked = member_list.ranked_members(
        'registry', 'domain-1', 0.0, by_capacity=True
    )
    hashed = member_list.ranked_members('registry', 'domain-1', 0.0)
    assert_that(ranked, Equals(hashed))


def test_a_comparison_finds_a_capacity_that_is_not_known() -> None:
    """The host that lacks it would go on ranking by hashing."""
    whole = make_uneven_list({})
    lacking = make_uneven_list({'host-5': 0.0})
    assert_that(whole.digest() == lacking.digest(), Equals(False))
    lacking.add([replace(make_member(5), processor=0.43)])
    assert_that(whole.digest(), Equals(lacking.digest()))
