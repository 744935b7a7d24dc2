"""Tests of a view that receives events in any order."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.revision import make_revision
from cowslipmill.view.revision import number_of
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.tests.conftest import make_configuration
from cowslipmill.view.tests.conftest import make_record
from cowslipmill.view.view import MAX_SERVERS
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


@pytest.mark.parametrize('known_start', [None, 1])
def test_a_word_of_leaving_outlasts_an_entry_that_is_away(
    view: View, known_start: int | None
) -> None:
    """The entry has lapsed, or is still that of the incarnation before."""
    if known_start is not None:
        earlier = make_record(started_ms=known_start)
        view.apply_events([ServerUpdated(earlier, 1)], 0.0)
    view.record_leaving('server-1', 2)
    record = make_record(started_ms=2)
    view.apply_events([ServerUpdated(record, 2)], 1.0)
    assert_that(available_names(view), Equals([]))


def test_a_word_of_leaving_of_an_earlier_start_is_ignored(view: View) -> None:
    view.apply_events([ServerUpdated(make_record(started_ms=2), 1)], 0.0)
    view.record_leaving('server-1', 1)
    assert_that(available_names(view), Equals(['server-1']))


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


def make_cold(warm_up_s: float) -> ServerRecord:
    """Returns the record of a server that stays cold for some seconds."""
    return replace(make_record(), warm_up_s=warm_up_s)


@pytest.mark.parametrize('warm_up_s', [0.0, 0.5, 1.9, 2.1])
def test_a_heartbeat_of_a_warm_up_does_not_change_the_view(
    view: View, warm_up_s: float
) -> None:
    """All hosts would be told of each heartbeat while a server warms up."""
    view.apply_events([ServerUpdated(make_cold(3.0), 1)], 0.0)
    heartbeat = ServerUpdated(make_cold(warm_up_s), 2)
    assert_that(view.apply_events([heartbeat], 1.0), Equals([]))


@pytest.mark.parametrize('warm_up_s', [0.3, 3.0])
def test_a_server_that_turns_cold_changes_the_view(
    view: View, warm_up_s: float
) -> None:
    """Hosts that don't probe it would not learn of it."""
    view.apply_events([ServerUpdated(make_record(), 1)], 0.0)
    cold = ServerUpdated(make_cold(warm_up_s), 2)
    assert_that(view.apply_events([cold], 1.0), Equals([cold]))
    assert_that(view.servers['server-1'].cold_until, Equals(1.0 + warm_up_s))


def test_a_second_warm_up_of_equal_length_changes_the_view(
    view: View,
) -> None:
    """A host that wasn't told of the heartbeats between knows only both."""
    view.apply_events([ServerUpdated(make_cold(3.0), 1)], 0.0)
    cold = ServerUpdated(make_cold(3.0), 9)
    assert_that(view.apply_events([cold], 7.0), Equals([cold]))


def test_a_snapshot_holds_what_remains_of_a_warm_up(view: View) -> None:
    """A host that starts would count a server as cold that is warm."""
    view.apply_events([ServerUpdated(make_cold(3.0), 1)], 0.0)
    remaining = [
        snapshot.servers[0][0].warm_up_s
        for snapshot in map(view.snapshot, (0.0, 1.0, 5.0))
    ]
    assert_that(remaining, Equals([3.0, 2.0, 0.0]))


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


def test_an_older_copy_brings_no_server_back_that_has_left(
    view: View,
) -> None:
    """Whether its entry was removed or still says that it leaves."""
    leaving = make_record(1, leaving=True)
    gone = make_record(2, leaving=True)
    view.apply_events([ServerUpdated(leaving, 8), ServerUpdated(gone, 9)], 0.0)
    view.apply_events([ServerRemoved(gone.name, 10)], 0.0)
    copied = [
        ServerUpdated(make_record(number), make_revision(1, number))
        for number in (1, 2)
    ]
    view.apply_events(copied, 1.0)
    assert_that(available_names(view), Equals([]))
    started_anew = make_record(2, started_ms=2)
    view.apply_events([ServerUpdated(started_anew, make_revision(1, 7))], 1.0)
    assert_that(available_names(view), Equals([started_anew.name]))


def test_an_older_copy_brings_no_earlier_incarnation_back(view: View) -> None:
    """Its successor writes its entry again soon."""
    view.apply_events([ServerUpdated(make_record(started_ms=2), 8)], 0.0)
    view.apply_events([ServerRemoved('server-1', 9)], 0.0)
    copied = ServerUpdated(make_record(started_ms=1), make_revision(1, 3))
    view.apply_events([copied], 0.5)
    assert_that(view.servers['server-1'].record.started_ms, Equals(2))


class StoreHistory:
    """Entries of two servers in a store that comes back from older copies.

    Attributes:
        entries: Present entries by server name.
        events: All events so far, in their order.
        era: The store's era.
        number: The last number that it gave out.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.entries: dict[str, ServerUpdated] = {}
        self.events: list[StoreEvent] = []
        self.era = 0
        self.number = 0

    def write(self, number: int, started_ms: int, *, leaving: bool) -> None:
        """Writes a server's entry; what has left doesn't say otherwise."""
        record = make_record(number, started_ms=started_ms, leaving=leaving)
        self.number += 1
        revision = make_revision(self.era, self.number)
        self.entries[record.name] = ServerUpdated(record, revision)
        self.events.append(self.entries[record.name])

    def remove(self, name: str) -> None:
        """Removes a server's entry."""
        self.number += 1
        self.entries.pop(name, None)
        revision = make_revision(self.era, self.number)
        self.events.append(ServerRemoved(name, revision))

    def restore(self, entries: dict[str, ServerUpdated], number: int) -> None:
        """Comes back with what it held before; everything is read anew."""
        self.era += 1
        self.number = number
        self.entries = {
            name: ServerUpdated(
                entry.record,
                make_revision(self.era, number_of(entry.revision)),
            )
            for name, entry in entries.items()
        }
        self.events += self.entries.values()


@given(st.data())
def test_hosts_agree_on_an_older_copy_after_they_have_talked(
    data: st.DataObject,
) -> None:
    """One read everything, the other a part, twice or in another order."""
    history = StoreHistory()
    copies: list[tuple[dict[str, ServerUpdated], int]] = [({}, 0)]
    latest = {1: 0, 2: 0}
    left = {1: -1, 2: -1}
    for _ in range(data.draw(st.integers(1, 12))):
        number = data.draw(st.integers(1, 2))
        latest[number] += data.draw(st.integers(0, 1))
        started_ms = latest[number]
        match data.draw(st.sampled_from(('ready', 'leave', 'copy', 'back'))):
            case 'ready' if started_ms > left[number]:
                history.write(number, started_ms, leaving=False)
            case 'leave':
                left[number] = started_ms
                history.write(number, started_ms, leaving=True)
                if data.draw(st.booleans()):
                    history.remove(f'server-{number}')
            case 'copy':
                copies.append((dict(history.entries), history.number))
            case 'back':
                history.restore(*data.draw(st.sampled_from(copies)))
    reader, other = View(), View()
    reader.apply_events(history.events, 0.0)
    if history.events:
        part = st.lists(st.sampled_from(history.events), max_size=9)
        other.apply_events(data.draw(part), 0.0)
    for _ in range(2):
        other.merge(reader.snapshot(0.0), 0.0)
        reader.merge(other.snapshot(0.0), 0.0)
    assert_that(available_names(other), Equals(available_names(reader)))
    for known in reader.available_servers('registry'):
        number = int(known.record.name[-1])
        assert_that(known.record.started_ms, GreaterThan(left[number]))


def test_further_servers_than_any_deployment_has_are_not_used(
    view: View,
) -> None:
    """Another writer may fill the store with entries that look sound."""
    events = [
        ServerUpdated(make_record(number), number + 1)
        for number in range(MAX_SERVERS + 10)
    ]
    view.apply_events(events, 1.0)
    assert_that(len(view.servers), Equals(MAX_SERVERS))
    moved = replace(make_record(1), slots=7)
    view.apply_events([ServerUpdated(moved, MAX_SERVERS + 20)], 2.0)
    assert_that(view.servers['server-1'].record.slots, Equals(7))
