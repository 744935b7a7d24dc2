"""What a host believes, whatever order it hears things in."""

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


def names(view: View) -> list[str]:
    return sorted(
        known.record.name for known in view.available_servers('registry')
    )


def test_an_older_configuration_changes_nothing(view: View) -> None:
    view.apply_events([ConfigurationUpdated(make_configuration(7))], 0.0)
    changed = view.apply_events(
        [ConfigurationUpdated(make_configuration(6))], 1.0
    )
    assert_that(changed, Equals([]))
    assert view.configuration is not None
    assert_that(view.configuration.version, Equals(7))


def test_a_leaving_server_takes_no_new_work(view: View) -> None:
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    view.apply_events([ServerUpdated(make_record(leaving=True), 2)], 0.0)
    assert_that(names(view), Equals([]))


def test_a_removed_server_does_not_come_back_by_old_news(view: View) -> None:
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    view.apply_events([ServerRemoved('server-1', 5)], 0.0)
    view.drop_missing(9.0)
    view.apply_events([ServerUpdated(make_record(), 4)], 9.0)
    assert_that(names(view), Equals([]))
    view.apply_events([ServerUpdated(make_record(), 6)], 9.0)
    assert_that(names(view), Equals(['server-1']))


def test_a_single_vanished_entry_is_dropped_before_the_server_ends(
    view: View,
) -> None:
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    view.apply_events([ServerRemoved('server-1', 2)], 0.0)
    view.drop_missing(1.0)
    assert_that(names(view), Equals(['server-1']))
    assert_that(view.drop_missing(1.3), Equals(['server-1']))


def test_entries_that_vanish_together_have_two_seconds(view: View) -> None:
    records = [make_record(number) for number in range(8)]
    view.apply_events([ServerUpdated(record, 1) for record in records], 0.0)
    view.apply_events([ServerRemoved(r.name, 2) for r in records], 0.0)
    view.drop_missing(1.9)
    assert_that(len(names(view)), Equals(8))
    view.apply_events([ServerUpdated(records[0], 3)], 1.95)
    view.drop_missing(2.3)
    assert_that(names(view), Equals(['server-0']))


def test_servers_that_leave_together_without_notice_are_dropped_in_time(
    view: View,
) -> None:
    records = [make_record(number) for number in range(20)]
    view.apply_events([ServerUpdated(record, 1) for record in records], 0.0)
    view.apply_events([ServerRemoved(r.name, 2) for r in records[:6]], 0.0)
    view.drop_missing(1.3)
    assert_that(len(names(view)), Equals(14))


def test_servers_that_leave_for_longer_are_used_for_longer() -> None:
    view = View(leaving_s=5.0)
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    view.apply_events([ServerRemoved('server-1', 2)], 0.0)
    view.drop_missing(2.9)
    assert_that(names(view), Equals(['server-1']))
    assert_that(view.drop_missing(3.1), Equals(['server-1']))


def test_a_late_heartbeat_of_an_earlier_incarnation_changes_nothing(
    view: View,
) -> None:
    view.apply_events([ServerUpdated(make_record(started_ms=2), 1)], 0.0)
    late = ServerUpdated(make_record(started_ms=1, leaving=True), 2)
    assert_that(view.apply_events([late], 0.0), Equals([]))
    assert_that(names(view), Equals(['server-1']))
    own = ServerUpdated(make_record(started_ms=2, leaving=True), 3)
    assert_that(view.apply_events([own], 0.0), Equals([own]))


def test_an_entry_that_vanished_comes_back_with_any_start(view: View) -> None:
    view.apply_events([ServerUpdated(make_record(started_ms=2), 1)], 0.0)
    view.apply_events([ServerRemoved('server-1', 2)], 0.0)
    back = ServerUpdated(make_record(started_ms=1), 3)
    assert_that(view.apply_events([back], 0.0), Equals([back]))


def test_a_heartbeat_alone_is_no_change(view: View) -> None:
    record = make_record()
    view.apply_events([ServerUpdated(record, 1)], 0.0)
    warmer = replace(record, warm_up_s=0.5)
    assert_that(view.apply_events([ServerUpdated(warmer, 2)], 0.0), Equals([]))


def test_a_restart_under_the_same_name_is_a_change(view: View) -> None:
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    again = ServerUpdated(make_record(started_ms=2), 2)
    assert_that(view.apply_events([again], 0.0), Equals([again]))


def test_a_full_read_marks_the_servers_it_misses(view: View) -> None:
    view.apply_events(
        [ServerUpdated(make_record(1), 1), ServerUpdated(make_record(2), 9)], 0
    )
    view.mark_missing(set(), 5, 0.0)
    view.drop_missing(2.0)
    assert_that(names(view), Equals(['server-2']))


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
def test_every_order_of_events_ends_in_one_view(
    events: list[StoreEvent],
) -> None:
    view = View()
    view.apply_events(events, 0.0)
    view.drop_missing(9.0)
    assert view.configuration is not None
    assert_that(view.configuration.version, Equals(3))
    assert_that(names(view), Equals(['server-2', 'server-3']))
    assert_that(view.servers['server-2'].record.started_ms, Equals(2))


@given(st.permutations(EVENTS), st.integers(0, len(EVENTS)))
def test_merging_two_views_loses_nothing(
    events: list[StoreEvent], split: int
) -> None:
    first, second = View(), View()
    first.apply_events(events[:split], 0.0)
    second.apply_events(events[split:], 0.0)
    first.merge(second.snapshot(0.0), 0.0)
    first.drop_missing(9.0)
    assert first.configuration is not None
    assert_that(first.configuration.version, Equals(3))
    serving = set(names(first))
    assert_that('server-1' in serving, Equals(False))


@given(st.permutations(EVENTS), st.integers(0, 8))
def test_what_a_host_lacks_makes_two_views_alike(
    events: list[StoreEvent], known: int
) -> None:
    ahead, behind = View(), View()
    for event in events:
        ahead.apply_events([event], 0.0)
        revision = getattr(event, 'revision', 0)
        if revision <= known:
            behind.apply_events([event], 0.0)
    ahead.advance(9, 0.0)
    behind.advance(known, 0.0)
    told = ahead.snapshot(0.0, since=known, version=behind.version)
    behind.merge(told, 0.0)
    for view in (ahead, behind):
        view.drop_missing(9.0)
    assert_that(names(behind), Equals(names(ahead)))
    assert_that(behind.version, Equals(ahead.version))
    assert_that(behind.revision, Equals(9))


def test_a_host_that_lacks_little_is_told_little() -> None:
    view = View()
    view.apply_events(
        [ServerUpdated(make_record(n), n) for n in range(1, 200)], 0.0
    )
    view.apply_events([ConfigurationUpdated(make_configuration(3))], 0.0)
    view.advance(199, 0.0)
    told = view.snapshot(0.0, since=197, version=3)
    assert_that(len(told.servers), Equals(2))
    assert_that(told.configuration, Equals(None))
