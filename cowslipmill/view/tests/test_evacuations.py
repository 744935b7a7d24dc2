"""Tests of what a host knows of evacuations.

Guard against hosts that disagree on which failure domains are evacuated, or
that keep an evacuation for good after it has ended.
"""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.view.evacuations import Evacuations
from cowslipmill.view.evacuations import MAX_EVACUATIONS
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.revision import make_revision
from cowslipmill.view.tests.conftest import make_record
from cowslipmill.view.view import Snapshot
from cowslipmill.view.view import View

DOMAIN = 'domain-a'


def make_change(
    revision: int, *, active: bool = True, domain: str = DOMAIN
) -> EvacuationChanged:
    """Returns a change of a failure domain's evacuation."""
    return EvacuationChanged(domain, revision, active)


def known_changes(view: View) -> dict[str, EvacuationChanged]:
    """Returns what a view holds of evacuations."""
    return view.evacuations.changes


@pytest.fixture
def view() -> View:
    """Returns a view with one server in the failure domain."""
    view = View()
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    view.advance(1, 0.0)
    return view


def test_servers_of_an_evacuated_domain_are_not_available(view: View) -> None:
    """Coordinators would go on granting their slots."""
    generation = view.generation
    begun = make_change(2)
    assert_that(view.apply_events([begun], 0.0), Equals([begun]))
    assert_that(view.available_servers('registry'), Equals([]))
    assert_that(view.generation, Equals(generation + 1))
    view.apply_events([make_change(3, active=False)], 0.0)
    assert_that(len(view.available_servers('registry')), Equals(1))


def test_a_key_written_twice_changes_nothing(view: View) -> None:
    """Each repetition would be logged and set all servers anew."""
    view.apply_events([make_change(2)], 0.0)
    assert_that(view.apply_events([make_change(3)], 0.0), Equals([]))
    late_end = make_change(2, active=False)
    view.apply_events([late_end], 0.0)
    assert_that(view.evacuations.is_active(DOMAIN), Equals(True))


changes = st.builds(
    EvacuationChanged,
    st.sampled_from(('domain-a', 'domain-b', 'domain-c')),
    st.integers(1, 9),
    st.booleans(),
)


@given(st.data())
def test_every_order_of_changes_gives_the_same_evacuations(
    data: st.DataObject,
) -> None:
    """Hosts get them from the store, updates and snapshots, some twice."""
    events: list[StoreEvent] = list(data.draw(st.lists(changes, max_size=12)))
    other_order = data.draw(st.permutations(events))
    one, other = View(), View()
    one.apply_events(events, 0.0)
    for event in other_order:
        other.apply_events([event, event], 0.0)
    assert_that(known_changes(other), Equals(known_changes(one)))
    assert_that(other.evacuations.active, Equals(one.evacuations.active))


@given(st.lists(changes, max_size=12), st.integers(0, 12))
def test_hosts_agree_on_evacuations_after_they_have_talked(
    events: list[StoreEvent], split: int
) -> None:
    """Each of them has seen a part of the changes only."""
    one, other = View(), View()
    one.apply_events(events[:split], 0.0)
    other.apply_events(events[split:], 0.0)
    one.merge(other.snapshot(0.0), 0.0)
    other.merge(one.snapshot(0.0), 0.0)
    whole = View()
    whole.apply_events(events, 0.0)
    assert_that(known_changes(one), Equals(known_changes(whole)))
    assert_that(known_changes(other), Equals(known_changes(whole)))


@given(st.permutations(range(MAX_EVACUATIONS + 6)))
def test_the_newest_changes_are_kept_in_any_order(order: list[int]) -> None:
    """Else names that another writer makes up would fill a host."""
    evacuations = Evacuations()
    for number in order:
        change = make_change(number + 1, domain=f'domain-{number}')
        evacuations.apply(change)
    kept = {f'domain-{n}' for n in range(6, MAX_EVACUATIONS + 6)}
    assert_that(set(evacuations.changes), Equals(kept))
    assert_that(evacuations.active, Equals(frozenset(kept)))


def test_a_snapshot_for_a_host_that_is_not_behind_has_all_evacuations(
    view: View,
) -> None:
    """Updates of an older build may have carried that host past the key."""
    view.apply_events([make_change(2)], 0.0)
    view.advance(9, 0.0)
    snapshot = view.snapshot(0.0, since=9)
    assert_that(snapshot.evacuations, Equals((make_change(2),)))
    assert_that(snapshot.evacuations_until, Equals(9))


def as_of_older_build(snapshot: Snapshot) -> Snapshot:
    """Returns a snapshot as a host of the previous build sends it."""
    return replace(snapshot, evacuations=(), evacuations_until=0)


def test_a_snapshot_of_an_older_build_ends_no_evacuation(view: View) -> None:
    """It lacks the evacuations, whatever its revision is."""
    view.apply_events([make_change(2)], 0.0)
    other = View()
    other.advance(9, 5.0)
    view.merge(as_of_older_build(other.snapshot(5.0)), 5.0)
    assert_that(view.evacuations.is_active(DOMAIN), Equals(True))
    assert_that(view.revision, Equals(9))
    # Evacuations since revision 1 aren't known, so that the host reads them.
    assert_that(view.complete_revision, Equals(1))
    assert_that(view.complete_at, Equals(0.0))


def test_a_host_that_was_cut_off_learns_that_an_evacuation_has_ended(
    view: View,
) -> None:
    """Also from hosts that have started since and never knew of it."""
    view.apply_events([make_change(2)], 0.0)
    started_since = View()
    started_since.advance(7, 1.0)
    view.merge(started_since.snapshot(1.0), 1.0)
    assert_that(view.evacuations.is_active(DOMAIN), Equals(False))
    # What the cut-off host tells others of its time does not bring it back.
    stale = View()
    stale.apply_events([make_change(2)], 0.0)
    view.merge(stale.snapshot(1.0), 1.0)
    assert_that(view.evacuations.is_active(DOMAIN), Equals(False))


def test_a_host_that_is_behind_ends_no_evacuation_of_others(
    view: View,
) -> None:
    """Its list lacks an evacuation that began after its last update."""
    view.apply_events([make_change(5)], 0.0)
    behind = View()
    behind.advance(4, 0.0)
    view.merge(behind.snapshot(0.0), 0.0)
    assert_that(view.evacuations.is_active(DOMAIN), Equals(True))


def test_the_newer_era_of_the_store_holds(view: View) -> None:
    """Its numbers are lower than those that were given out before."""
    view.apply_events([make_change(50)], 0.0)
    view.apply_events([make_change(60, active=False)], 0.0)
    copied = make_change(make_revision(1, 50))
    view.apply_events([copied], 0.0)
    assert_that(view.evacuations.is_active(DOMAIN), Equals(True))
    ended = make_change(make_revision(1, 51), active=False)
    view.apply_events([ended], 0.0)
    view.apply_events([make_change(70)], 0.0)
    assert_that(view.evacuations.is_active(DOMAIN), Equals(False))


def test_a_list_of_a_host_that_is_behind_revives_no_evacuation() -> None:
    """A host that has read the store since would tell all others of it."""
    evacuations = Evacuations()
    evacuations.advance(30, 1.0)
    late = (EvacuationChanged('domain-a', 10, True),)
    for change in evacuations.events_of_list(late, 19):
        evacuations.apply(change)
    assert_that(evacuations.active, Equals(frozenset()))
    newer = (EvacuationChanged('domain-a', 31, True),)
    for change in evacuations.events_of_list(newer, 31):
        evacuations.apply(change)
    assert_that(evacuations.active, Equals({'domain-a'}))
