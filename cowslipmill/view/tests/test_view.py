"""Tests of a view that receives events in any order."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.tests.conftest import make_configuration
from cowslipmill.view.tests.conftest import make_record
from cowslipmill.view.view import View


@pytest.fixture
def view() -> View:
    return View()


def available_names(view: View) -> list[str]:
    return sorted(
        known.record.name for known in view.available_servers('registry')
    )


def test_an_older_configuration_is_ignored(view: View) -> None:
    view.apply_events([ConfigurationUpdated(make_configuration(7))], 0.0)
    changed = view.apply_events(
        [ConfigurationUpdated(make_configuration(6))], 1.0
    )
    assert_that(changed, Equals([]))
    assert view.configuration is not None
    assert_that(view.configuration.version, Equals(7))


def test_a_leaving_server_is_not_available(view: View) -> None:
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    view.apply_events([ServerUpdated(make_record(leaving=True), 2)], 0.0)
    assert_that(available_names(view), Equals([]))


def test_an_older_entry_does_not_restore_a_removed_server(view: View) -> None:
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    view.apply_events([ServerRemoved('server-1', 5)], 0.0)
    view.drop_missing(9.0)
    view.apply_events([ServerUpdated(make_record(), 4)], 9.0)
    assert_that(available_names(view), Equals([]))
    view.apply_events([ServerUpdated(make_record(), 6)], 9.0)
    assert_that(available_names(view), Equals(['server-1']))


def test_a_single_missing_server_is_dropped_before_it_stops(
    view: View,
) -> None:
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    view.apply_events([ServerRemoved('server-1', 2)], 0.0)
    view.drop_missing(1.0)
    assert_that(available_names(view), Equals(['server-1']))
    assert_that(view.drop_missing(1.3), Equals(['server-1']))


def test_servers_missing_in_a_mass_loss_are_kept_for_two_seconds(
    view: View,
) -> None:
    records = [make_record(number) for number in range(8)]
    view.apply_events([ServerUpdated(record, 1) for record in records], 0.0)
    view.apply_events([ServerRemoved(r.name, 2) for r in records], 0.0)
    view.drop_missing(1.9)
    assert_that(len(available_names(view)), Equals(8))
    view.apply_events([ServerUpdated(records[0], 3)], 1.95)
    view.drop_missing(2.3)
    assert_that(available_names(view), Equals(['server-0']))


def test_a_smaller_loss_of_servers_has_the_usual_grace_period(
    view: View,
) -> None:
    records = [make_record(number) for number in range(20)]
    view.apply_events([ServerUpdated(record, 1) for record in records], 0.0)
    view.apply_events([ServerRemoved(r.name, 2) for r in records[:6]], 0.0)
    view.drop_missing(1.3)
    assert_that(len(available_names(view)), Equals(14))


def test_the_grace_period_grows_with_leaving_s() -> None:
    view = View(leaving_s=5.0)
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    view.apply_events([ServerRemoved('server-1', 2)], 0.0)
    view.drop_missing(2.9)
    assert_that(available_names(view), Equals(['server-1']))
    assert_that(view.drop_missing(3.1), Equals(['server-1']))


def test_a_late_heartbeat_of_an_earlier_incarnation_is_ignored(
    view: View,
) -> None:
    view.apply_events([ServerUpdated(make_record(started_ms=2), 1)], 0.0)
    late = ServerUpdated(make_record(started_ms=1, leaving=True), 2)
    assert_that(view.apply_events([late], 0.0), Equals([]))
    assert_that(available_names(view), Equals(['server-1']))
    own = ServerUpdated(make_record(started_ms=2, leaving=True), 3)
    assert_that(view.apply_events([own], 0.0), Equals([own]))


def test_a_missing_server_returns_with_any_incarnation(view: View) -> None:
    view.apply_events([ServerUpdated(make_record(started_ms=2), 1)], 0.0)
    view.apply_events([ServerRemoved('server-1', 2)], 0.0)
    back = ServerUpdated(make_record(started_ms=1), 3)
    assert_that(view.apply_events([back], 0.0), Equals([back]))


def test_a_heartbeat_does_not_change_the_view(view: View) -> None:
    record = make_record()
    view.apply_events([ServerUpdated(record, 1)], 0.0)
    warmer = replace(record, warm_up_s=0.5)
    assert_that(view.apply_events([ServerUpdated(warmer, 2)], 0.0), Equals([]))


def test_a_restart_under_the_same_name_changes_the_view(view: View) -> None:
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    restarted = ServerUpdated(make_record(started_ms=2), 2)
    assert_that(view.apply_events([restarted], 0.0), Equals([restarted]))


def test_servers_absent_from_a_full_read_become_missing(view: View) -> None:
    view.apply_events(
        [ServerUpdated(make_record(1), 1), ServerUpdated(make_record(2), 9)], 0
    )
    view.mark_missing(set(), 5, 0.0)
    view.drop_missing(2.0)
    assert_that(available_names(view), Equals(['server-2']))


EVENTS: list[StoreEvent] = [
    ConfigurationUpdated(make_configuration(version)) for version in (1, 2, 3)
]
EVENTS += [
    ServerUpdated(make_record(1), 1),
    ServerUpdated(make_record(1, leaving=True), 4),
    ServerRemoved('server-1', 6),
    ServerUpdated(make_record(2), 2),
    ServerUpdated(make_record(2, started_ms=2), 5),
    ServerRemoved('server-3', 3),
    ServerUpdated(make_record(3), 7),
]


@given(st.permutations(EVENTS))
def test_every_order_of_events_gives_the_same_view(
    events: list[StoreEvent],
) -> None:
    view = View()
    view.apply_events(events, 0.0)
    view.drop_missing(9.0)
    assert view.configuration is not None
    assert_that(view.configuration.version, Equals(3))
    assert_that(available_names(view), Equals(['server-2', 'server-3']))
    assert_that(view.servers['server-2'].record.started_ms, Equals(2))


@given(st.permutations(EVENTS), st.integers(0, len(EVENTS)))
def test_a_merged_view_has_the_newest_configuration_and_no_removed_server(
    events: list[StoreEvent], split: int
) -> None:
    first, second = View(), View()
    first.apply_events(events[:split], 0.0)
    second.apply_events(events[split:], 0.0)
    first.merge(second.snapshot(0.0), 0.0)
    first.drop_missing(9.0)
    assert first.configuration is not None
    assert_that(first.configuration.version, Equals(3))
    available = set(available_names(first))
    assert_that('server-1' in available, Equals(False))


@given(st.permutations(EVENTS), st.integers(0, 8))
def test_a_snapshot_since_a_revision_brings_a_view_up_to_date(
    events: list[StoreEvent], known_revision: int
) -> None:
    ahead, behind = View(), View()
    for event in events:
        ahead.apply_events([event], 0.0)
        revision = getattr(event, 'revision', 0)
        if revision <= known_revision:
            behind.apply_events([event], 0.0)
    ahead.advance(9, 0.0)
    behind.advance(known_revision, 0.0)
    snapshot = ahead.snapshot(
        0.0, since=known_revision, version=behind.version
    )
    behind.merge(snapshot, 0.0)
    for view in (ahead, behind):
        view.drop_missing(9.0)
    assert_that(available_names(behind), Equals(available_names(ahead)))
    assert_that(behind.version, Equals(ahead.version))
    assert_that(behind.revision, Equals(9))


def test_a_snapshot_since_a_revision_holds_only_later_changes() -> None:
    view = View()
    view.apply_events(
        [ServerUpdated(make_record(n), n) for n in range(1, 200)], 0.0
    )
    view.apply_events([ConfigurationUpdated(make_configuration(3))], 0.0)
    view.advance(199, 0.0)
    snapshot = view.snapshot(0.0, since=197, version=3)
    assert_that(len(snapshot.servers), Equals(2))
    assert_that(snapshot.configuration, Equals(None))
