"""Tests of the entries that other writers put into the store.

Guard against one malformed entry ending every host that reads it.
"""

from base64 import b64encode
from json import dumps
from typing import Any

from hypothesis import given
from hypothesis import strategies
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from cowslipmill.fleet.messages import MESSAGES
from cowslipmill.fleet.messages import News
from cowslipmill.fleet.rpc import MAX_MESSAGE_BYTES
from cowslipmill.http1.message import Response
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.platform.storeapi import PlatformStoreApi
from cowslipmill.runtime.names import MAX_NAME_CHARACTERS
from cowslipmill.view.events import EntryChanges
from cowslipmill.view.events import EntryPage
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import StoreUnavailable

API = PlatformStoreApi('store')
CODEC = make_frame_codec(MESSAGES, max_bytes=MAX_MESSAGE_BYTES)
NESTED = b'[' * 100_000
SERVER: dict[str, Any] = {
    'Service': 'catalogue',
    'Address': '10.0.0.1:80',
    'Zone': 'domain-a',
    'State': 'ready',
    'Slots': 6,
    'Sequence': 1,
    'WarmupLeftMs': 0,
    'born': 5,
}

LONGEST_NAME = 'd' * MAX_NAME_CHARACTERS

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(strategies.characters(), max_size=8),
    lambda values: (
        strategies.lists(values, max_size=3)
        | strategies.dictionaries(strategies.text(), values, max_size=3)
    ),
    max_leaves=6,
)


def changes_body(key: str, value: bytes) -> bytes:
    """Returns the body of a response with one changed entry."""
    text = b64encode(value).decode()
    event = {'Key': key, 'Revision': 9, 'Value': text}
    return dumps({'CurrentRev': 9, 'events': [event]}).encode()


def read_changes(key: str, value: bytes) -> EntryChanges:
    """Returns what a host makes of one changed entry."""
    changes = API.parse_changes(Response(200, [], changes_body(key, value)))
    assert_that(changes, IsInstance(EntryChanges))
    assert isinstance(changes, EntryChanges)
    return changes


def assert_other_hosts_can_read(changes: EntryChanges) -> None:
    """Sends the changes as the host that reads the store does."""
    events: Any = tuple(
        event
        for event in changes.events
        if not isinstance(event, EvacuationChanged)
    )
    evacuations = tuple(
        event
        for event in changes.events
        if isinstance(event, EvacuationChanged)
    )
    news = News(1, 9, 0.0, events, 'host-1', False, evacuations, 9)
    raw = CODEC.frame_codec.encode(Frame(FrameKind.NOTIFICATION, 0, news))
    assert_that(CODEC.frame_codec.decode(raw), IsInstance(Frame))


def with_raw_field(name: str, raw: bytes) -> bytes:
    """Returns a server's entry with a field in place of its own."""
    fields = dumps({k: v for k, v in SERVER.items() if k != name}).encode()
    return fields[:-1] + b', "%b": %b}' % (name.encode(), raw)


@pytest.mark.parametrize(
    ('name', 'raw'),
    [
        ('Address', b'"10.0.0.1:\\u00b2"'),
        ('Address', b'"10.0.0.1:99999"'),
        ('Address', b'"10.0.0.1:0"'),
        ('Address', b'"no number:80"'),
        ('Address', b'"10.0.0.1\\u0000:80"'),
        ('WarmupLeftMs', b'1' + b'0' * 400),
        ('WarmupLeftMs', b'NaN'),
        ('WarmupLeftMs', b'Infinity'),
        ('Service', b'"\\ud800"'),
        ('Zone', b'"\\ud800"'),
        ('Slots', b'1' + b'0' * 30),
        ('born', b'1' + b'0' * 30),
    ],
)
def test_a_malformed_server_is_left_out(name: str, raw: bytes) -> None:
    """It names no server to use, and ends no host."""
    changes = read_changes('servers/one', with_raw_field(name, raw))
    invalid = [entry.field for entry in changes.invalid]
    assert_that((changes.events, invalid), Equals(((), [name])))


@pytest.mark.parametrize('key', ['servers/one', 'op/config'])
def test_a_deeply_nested_entry_is_left_out(key: str) -> None:
    """The JSON parser gives up on it by another error than usual."""
    changes = read_changes(key, NESTED)
    assert_that(len(changes.invalid), Equals(1))


def test_a_value_of_other_characters_is_left_out() -> None:
    """Base64 text is ASCII, and a value may not be."""
    event = {'Key': 'servers/one', 'Revision': 9, 'Value': '\u00b2'}
    body = dumps({'CurrentRev': 9, 'events': [event]}).encode()
    changes = API.parse_changes(Response(200, [], body))
    assert isinstance(changes, EntryChanges)
    assert_that(len(changes.invalid), Equals(1))


def test_a_key_that_has_no_encoding_is_left_out() -> None:
    """Its name could not be told to other hosts."""
    changes = read_changes('servers/\ud800', dumps(SERVER).encode())
    assert_that(changes.events, Equals(()))


@pytest.mark.parametrize('name', ['one\r\nhost: other', '', 'o\u00b2'])
def test_a_key_that_fits_into_no_header_is_left_out(name: str) -> None:
    """The name would end the header that holds it."""
    changes = read_changes(f'servers/{name}', dumps(SERVER).encode())
    assert_that(changes.events, Equals(()))


@pytest.mark.parametrize(
    'body', [NESTED, b'{"CurrentRev": ' + NESTED, b'\xff', b'']
)
def test_a_malformed_response_counts_as_none(body: bytes) -> None:
    """The store is read again, as after a lost response."""
    for parse in (API.parse_page, API.parse_changes):
        parsed: object = parse(Response(200, [], body))
        assert_that(parsed, IsInstance(StoreUnavailable))


@given(
    strategies.dictionaries(strategies.sampled_from(list(SERVER)), json_values)
)
def test_no_server_entry_ends_a_host(fields: dict[str, Any]) -> None:
    """Whatever another writer puts into its fields."""
    value = dumps({**SERVER, **fields}).encode()
    assert_other_hosts_can_read(read_changes('servers/one', value))


@given(strategies.binary())
def test_no_bytes_end_a_host(value: bytes) -> None:
    """Values need not be JSON."""
    for key in ('servers/one', 'op/config', 'op/evacuate/domain-a'):
        assert_other_hosts_can_read(read_changes(key, value))


@given(json_values)
def test_no_response_of_the_store_ends_a_host(value: Any) -> None:
    """Also one of another form."""
    body = dumps(value).encode()
    for parse in (API.parse_page, API.parse_changes):
        parsed: object = parse(Response(200, [], body))
        expected = (StoreUnavailable, EntryPage, EntryChanges)
        assert isinstance(parsed, expected)


@pytest.mark.parametrize('value', [b'{}', b'', b'\xff', NESTED])
def test_a_key_states_an_evacuation_whatever_its_value(value: bytes) -> None:
    """An operator's slip in the value would keep the domain in use."""
    changes = read_changes('op/evacuate/domain-a', value)
    expected = EvacuationChanged('domain-a', 9, True)
    assert_that(changes.events, Equals((expected,)))
    assert_other_hosts_can_read(changes)


def test_a_removed_key_ends_an_evacuation() -> None:
    """Its removal has no value at all."""
    event = {'Key': 'op/evacuate/a/b', 'Revision': 9, 'Removed': True}
    body = dumps({'CurrentRev': 9, 'events': [event]}).encode()
    changes = API.parse_changes(Response(200, [], body))
    assert isinstance(changes, EntryChanges)
    expected = EvacuationChanged('a/b', 9, False)
    assert_that(changes.events, Equals((expected,)))


@pytest.mark.parametrize('name', ['', 'a\ud800', LONGEST_NAME + 'd'])
def test_a_failure_domain_that_can_not_be_told_is_left_out(name: str) -> None:
    """Other hosts would reject the whole update."""
    changes = read_changes(f'op/evacuate/{name}', b'{}')
    invalid = [entry.field for entry in changes.invalid]
    assert_that((changes.events, invalid), Equals(((), ['Key'])))


def test_the_longest_names_are_read_whole() -> None:
    """A part of the name would be another failure domain or server."""
    changes = read_changes(f'op/evacuate/{LONGEST_NAME}', b'{}')
    expected = EvacuationChanged(LONGEST_NAME, 9, True)
    assert_that(changes.events, Equals((expected,)))
    assert_other_hosts_can_read(changes)
    changes = read_changes(f'servers/{LONGEST_NAME}', b'')
    invalid = [entry.key for entry in changes.invalid]
    assert_that(invalid, Equals([f'servers/{LONGEST_NAME}']))
