"""Tests of reading the store, including each way in which it may fail."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import timeout
from collections.abc import AsyncIterator
from typing import Any

from msgspec.structs import replace
import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from cowslipmill.http1.message import Response
from cowslipmill.platform.storeapi import PlatformStoreApi
from cowslipmill.standin.store import StandinStore
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreUnavailable
from cowslipmill.view.reader import MAX_PAGES
from cowslipmill.view.reader import ReadResult
from cowslipmill.view.reader import StoreReader
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.view import View

CONFIGURATION: dict[str, Any] = {
    'Version': '0000000a',
    'Routes': [],
    'Services': [],
    'Limits': {
        'MaxHeaderBytes': 16_384,
        'MaxBodyBytes': 1_048_576,
        'HeaderTimeoutMs': 3_000,
        'IdleTimeoutMs': 15_000,
    },
}


def make_entry(state: str = 'ready') -> dict[str, Any]:
    return {
        'Service': 'registry',
        'Address': '127.0.0.1:9000',
        'Zone': 'domain-a',
        'Version': 'v1',
        'Slots': 6,
        'State': state,
        'WarmupLeftMs': 0,
        'Sequence': 1,
        'born': 1_700_000_000_000,
    }


@pytest_asyncio.fixture
async def store() -> AsyncIterator[StandinStore]:
    """Starts a store that holds a configuration and two servers."""
    store = StandinStore()
    await store.start()
    store.put('op/config', CONFIGURATION)
    store.put('servers/one', make_entry())
    store.put('servers/two', make_entry())
    yield store
    await store.stop()


@pytest_asyncio.fixture
async def reader(store: StandinStore) -> StoreReader:
    """Returns a reader of that store."""
    clock = get_running_loop().time
    return StoreReader(store.address, PlatformStoreApi('store'), View(), clock)


def leaving_record(reader: StoreReader, name: str) -> ServerRecord:
    return replace(reader.view.servers[name].record, leaving=True)


def available_names(reader: StoreReader) -> list[str]:
    available = reader.view.available_servers('registry')
    return sorted(known.record.name for known in available)


async def test_the_first_read_returns_everything(
    reader: StoreReader, store: StandinStore
) -> None:
    store.page_size = 1
    await reader.read()
    assert_that(available_names(reader), Equals(['one', 'two']))
    assert reader.view.configuration is not None
    assert_that(reader.view.configuration.version, Equals(10))


async def test_later_reads_return_only_changes(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    store.put('servers/one', make_entry('draining'))
    result = await reader.read()
    assert isinstance(result, ReadResult)
    assert_that(len(result.applied), Equals(1))
    assert_that(available_names(reader), Equals(['two']))
    assert_that(store.calls['/api/kv-range'], Equals(1))


async def test_events_already_applied_from_another_host_are_still_sent_on(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    known_revision = reader.view.revision
    reading = create_task(reader.read())
    await sleep(0.05)
    revision = store.put('servers/one', make_entry('draining'))
    other = View()
    other.apply_events(
        [ServerUpdated(leaving_record(reader, 'one'), revision)], 0.0
    )
    other.advance(revision, 0.0)
    reader.view.merge(other.snapshot(0.0), 0.0)
    result = await reading
    assert isinstance(result, ReadResult)
    assert_that(
        (result.since, result.revision), Equals((known_revision, revision))
    )
    assert_that(result.applied, Equals([]))
    assert_that(len(result.updates), Equals(1))


async def test_a_full_read_of_a_view_with_a_gap_has_no_updates(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    revision = store.put('servers/one', make_entry('draining'))
    store.compact()
    reader.view.apply_events(
        [ServerUpdated(leaving_record(reader, 'one'), revision)], 0.0
    )
    reader.view.record_gap(revision)
    result = await reader.read()
    assert isinstance(result, ReadResult)
    assert_that((result.since, result.updates), Equals((revision, [])))


async def test_a_full_read_of_an_unchanged_view_has_updates(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    known_revision = reader.view.revision
    store.put('servers/one', make_entry('draining'))
    store.compact()
    result = await reader.read()
    assert isinstance(result, ReadResult)
    assert_that(result.since, Equals(known_revision))
    assert_that(len(result.updates), Equals(1))


async def test_compacted_history_causes_a_full_read(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    store.remove('servers/one')
    store.put('servers/three', make_entry())
    store.compact()
    await reader.read()
    reader.view.drop_missing(get_running_loop().time() + 9.0)
    assert_that(available_names(reader), Equals(['three', 'two']))


async def test_missing_changes_cause_a_full_read(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    store.put('servers/three', make_entry())
    store.skip_events = True
    await reader.read()
    assert_that(available_names(reader), Equals(['one', 'three', 'two']))


async def test_reading_recovers_after_a_lost_response(
    reader: StoreReader, store: StandinStore
) -> None:
    store.lose_next = 1
    async with timeout(5.0):
        assert_that(await reader.read(), IsInstance(StoreUnavailable))
        await reader.read()
    assert_that(available_names(reader), Equals(['one', 'two']))


async def test_a_store_that_was_never_reached_is_unavailable(
    reader: StoreReader, store: StandinStore
) -> None:
    store.busy = True
    assert_that(await reader.read(), IsInstance(StoreUnavailable))
    assert_that(reader.view.age_ms(0.0), Equals(None))


async def test_an_outage_of_the_store_keeps_the_last_view(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    store.busy = True
    await reader.read()
    assert_that(available_names(reader), Equals(['one', 'two']))


async def test_reading_continues_from_other_hosts_updates(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    store.put('servers/three', make_entry())
    reader.view.advance(store.revision, 0.0)
    store.put('servers/four', make_entry())
    result = await reader.read()
    assert isinstance(result, ReadResult)
    assert_that(len(result.applied), Equals(1))


INVALID_ENTRIES: dict[str, Any] = {
    'no service': {**make_entry(), 'Service': None},
    'no start': {k: v for k, v in make_entry().items() if k != 'born'},
    'start is a fraction': {**make_entry(), 'born': 1.5},
    'unknown state': {**make_entry(), 'State': 'resting'},
    'slots as text': {**make_entry(), 'Slots': '6'},
    'no slots': {**make_entry(), 'Slots': 0},
    'address without port': {**make_entry(), 'Address': '127.0.0.1'},
    'a list': [1, 2],
}


@pytest.mark.parametrize('kind', sorted(INVALID_ENTRIES))
async def test_an_invalid_entry_adds_no_server(
    reader: StoreReader, store: StandinStore, kind: str
) -> None:
    store.put('servers/forged', INVALID_ENTRIES[kind])
    store.put_raw('servers/noise', b'\xff\x00')
    await reader.read()
    assert_that(available_names(reader), Equals(['one', 'two']))


async def test_an_invalid_entry_keeps_the_servers_last_record(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    store.put('servers/one', INVALID_ENTRIES['unknown state'])
    await reader.read()
    assert_that(available_names(reader), Equals(['one', 'two']))


async def test_an_invalid_configuration_keeps_the_last_one(
    reader: StoreReader, store: StandinStore
) -> None:
    await reader.read()
    store.put('op/config', {**CONFIGURATION, 'Limits': 3})
    await reader.read()
    assert reader.view.configuration is not None
    assert_that(reader.view.configuration.version, Equals(10))


async def test_pages_without_end_are_given_up(
    store: StandinStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What they hold would fill the host, and no read would end."""
    page = store.page

    def truncated(words: dict[str, str]) -> Response:
        """Answers as if there were another page, which is the first."""
        response = page({**words, 'after': ''})
        body = bytes(response.body).replace(b'false', b'true')
        return Response(response.status, response.headers, body)

    monkeypatch.setattr(store, 'page', truncated)
    clock = get_running_loop().time
    view = View()
    reader = StoreReader(store.address, PlatformStoreApi('s'), view, clock)
    assert_that(await reader.read(), IsInstance(StoreUnavailable))
    assert_that(store.calls['/api/kv-range'], Equals(MAX_PAGES))


async def test_an_evacuation_is_read_at_first_and_as_a_change(
    reader: StoreReader, store: StandinStore
) -> None:
    """It has to be in force within seconds, whoever reads the store."""
    store.evacuate('domain-b')
    await reader.read()
    assert_that(reader.view.evacuations.active, Equals({'domain-b'}))
    store.evacuate('domain-a')
    await reader.read()
    assert_that(available_names(reader), Equals([]))
    store.end_evacuation('domain-a')
    await reader.read()
    assert_that(available_names(reader), Equals(['one', 'two']))


async def test_a_full_read_that_lacks_the_key_ends_the_evacuation(
    reader: StoreReader, store: StandinStore
) -> None:
    """The removal may be in a part of the history that is gone."""
    store.evacuate('domain-a')
    await reader.read()
    store.end_evacuation('domain-a')
    store.put('servers/three', make_entry())
    store.compact()
    result = await reader.read()
    assert isinstance(result, ReadResult)
    assert_that(available_names(reader), Equals(['one', 'three', 'two']))
    ended = EvacuationChanged('domain-a', store.revision, False)
    assert_that(ended in result.applied, Equals(True))


async def test_a_full_read_ends_no_evacuation_that_is_newer(
    reader: StoreReader, store: StandinStore
) -> None:
    """Another host has told of it while the pages were read."""
    await reader.read()
    newer = EvacuationChanged('domain-a', store.revision + 5, True)
    reader.view.apply_events([newer], 0.0)
    store.put('servers/three', make_entry())
    store.compact()
    await reader.read()
    assert_that(reader.view.evacuations.active, Equals({'domain-a'}))


@pytest.mark.parametrize('in_copy', [True, False])
async def test_a_store_that_comes_back_says_what_is_evacuated(
    reader: StoreReader, store: StandinStore, in_copy: bool
) -> None:
    """Whatever held before the copy; numbers of revisions are lower."""
    if in_copy:
        store.evacuate('domain-a')
    copy = store.copy()
    for _ in range(5):
        store.put('servers/one', make_entry())
    if in_copy:
        store.end_evacuation('domain-a')
    else:
        store.evacuate('domain-a')
    await reader.read()
    assert_that(bool(reader.view.evacuations.active), Equals(not in_copy))
    store.restore(copy)
    await reader.read()
    assert_that(bool(reader.view.evacuations.active), Equals(in_copy))


async def test_an_outage_of_the_store_keeps_an_evacuation(
    reader: StoreReader, store: StandinStore
) -> None:
    """The last state that was read stays in force."""
    store.evacuate('domain-a')
    await reader.read()
    store.busy = True
    await reader.read()
    assert_that(available_names(reader), Equals([]))


@pytest.mark.parametrize('compacted', [True, False])
async def test_evacuations_are_read_after_updates_of_an_older_build(
    reader: StoreReader, store: StandinStore, compacted: bool
) -> None:
    """Its updates carry the view past the key and don't tell of it."""
    await reader.read()
    store.evacuate('domain-a')
    if compacted:
        store.compact()
    revision = store.put('servers/three', make_entry())
    reader.view.advance(revision, 0.0, evacuations_until=0)
    await reader.read()
    assert_that(reader.view.evacuations.active, Equals({'domain-a'}))
    assert_that(reader.view.complete_revision, Equals(revision))


async def test_evacuations_are_read_after_a_snapshot_of_an_older_build(
    reader: StoreReader, store: StandinStore
) -> None:
    """A host that starts would never know of one that has begun before."""
    store.evacuate('domain-a')
    reader.view.advance(store.revision, 0.0, evacuations_until=0)
    await reader.read()
    assert_that(reader.view.evacuations.active, Equals({'domain-a'}))
