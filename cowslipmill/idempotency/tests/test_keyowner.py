"""Tests of the homes of opaque keys."""

from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is

from cowslipmill.homes.rendezvous import rank
from cowslipmill.hosts.fact import State
from cowslipmill.hosts.member import Member
from cowslipmill.idempotency.keyowner import find_owner

MEMORY_MS = 60_000
NOW_MS = 1_780_000_000_000
NAMES = ('entry-0', 'entry-1', 'entry-2')
FIRST, SECOND, _ = rank('key', NAMES)


def make_members(state: State, changed_ms_ago: int) -> list[Member]:
    """Returns three members; the first home of the key is in a state."""
    return [
        Member(
            name=name,
            host=name,
            failure_domain='domain-a',
            incarnation=1,
            peer_address='127.0.0.1:8082',
            state=state if name == FIRST else State.LIVE,
            changed_ms_ago=changed_ms_ago,
        )
        for name in NAMES
    ]


@pytest.mark.parametrize('state', [State.LIVE, State.LEAVING])
def test_the_first_in_rank_is_home(state: State) -> None:
    """A home that leaves still answers for its keys."""
    home = find_owner('key', make_members(state, 0), MEMORY_MS, NOW_MS)
    assert home is not None
    assert_that(home.name, Equals(FIRST))


def test_keys_of_a_lost_home_have_none() -> None:
    """No other entry runs them while an outcome may be remembered."""
    members = make_members(State.GONE, MEMORY_MS - 1)
    assert_that(find_owner('key', members, MEMORY_MS, NOW_MS), Is(None))


def test_keys_move_on_after_the_retention() -> None:
    """The next in rank is home once nothing can be remembered."""
    home = find_owner(
        'key', make_members(State.GONE, MEMORY_MS), MEMORY_MS, NOW_MS
    )
    assert home is not None
    assert_that(home.name, Equals(SECOND))


def replace_first(members: list[Member], started_ms_ago: int) -> list[Member]:
    """Returns the members after the first home was replaced."""
    return [
        replace(member, incarnation=NOW_MS - started_ms_ago)
        if member.name == FIRST
        else member
        for member in members
    ]


def test_a_replaced_home_runs_no_keys_of_its_former_incarnation() -> None:
    """Its memory is empty, so for a while its keys have no home."""
    members = replace_first(make_members(State.LIVE, 0), MEMORY_MS - 1)
    assert_that(find_owner('key', members, MEMORY_MS, NOW_MS), Is(None))


def test_a_replaced_home_is_home_again_after_the_retention() -> None:
    """Nothing that its former incarnation ran is to be remembered then."""
    members = replace_first(make_members(State.LIVE, 0), MEMORY_MS)
    home = find_owner('key', members, MEMORY_MS, NOW_MS)
    assert home is not None
    assert_that(home.name, Equals(FIRST))


def test_a_fleet_that_starts_together_takes_opaque_keys_at_once() -> None:
    """No member can have forgotten what another one ran before."""
    members = [
        replace(member, incarnation=NOW_MS - 1_000)
        for member in make_members(State.LIVE, 0)
    ]
    home = find_owner('key', members, MEMORY_MS, NOW_MS)
    assert home is not None
    assert_that(home.name, Equals(FIRST))
