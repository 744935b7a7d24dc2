"""Requests to the platform's store and the answers to them."""

from base64 import b64decode
from binascii import Error as Base64Error
from urllib.parse import quote

from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.platform.configuration import decode_configuration
from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import JsonObject
from cowslipmill.platform.fields import read_integer
from cowslipmill.platform.fields import read_object
from cowslipmill.platform.fields import read_objects
from cowslipmill.platform.fields import read_string
from cowslipmill.platform.serverentry import decode_server
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import EntryChanges
from cowslipmill.view.events import EntryPage
from cowslipmill.view.events import HistoryCompacted
from cowslipmill.view.events import InvalidEntry
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.events import StoreUnavailable

RANGE_PATH = '/api/kv-range'
WATCH_PATH = '/api/kv-watch'
CONFIGURATION_KEY = 'op/config'
SERVER_PREFIX = 'servers/'
GONE_STATUS = 410


class PlatformStoreApi:
    """Speaks the store's calls for what this product reads.

    Attributes:
        host: Value of the `Host` header.
    """

    __slots__ = ('host',)

    def __init__(self, host: str) -> None:
        """Keeps the address that requests name."""
        self.host = host

    def build_page_request(self, after_key: str) -> Request:
        """Returns the request of one page of all entries."""
        target = f'{RANGE_PATH}?Prefix='
        if after_key:
            target += f'&after={quote(after_key, safe="")}'
        return self.build_request(target)

    def build_changes_request(self, revision: int, wait_s: float) -> Request:
        """Returns the request of what changed since a revision.

        Args:
            revision: Where to continue.
            wait_s: How long the store may wait for a change.
        """
        wait_ms = int(wait_s * 1000)
        target = f'{WATCH_PATH}?Prefix=&after={revision}&WaitMs={wait_ms}'
        return self.build_request(target)

    def build_request(self, target: str) -> Request:
        """Returns a request for a target."""
        headers = [(b'host', self.host.encode())]
        return Request(b'GET', target.encode(), headers, b'')

    def parse_page(self, answer: Response) -> EntryPage | StoreUnavailable:
        """Returns the page that an answer holds."""
        table = read_response(answer)
        if isinstance(table, StoreUnavailable):
            return table
        try:
            items = read_objects(table, 'items')
            revision = read_integer(table, 'CurrentRev')
            events, invalid = decode_entries(items)
            more = table.get('Truncated') is True and bool(items)
            next_key = read_string(items[-1], 'Key') if more else ''
        except InvalidField as error:
            return StoreUnavailable(f'unusable page: {error}')
        return EntryPage(revision, events, invalid, next_key)

    def parse_changes(
        self, answer: Response
    ) -> EntryChanges | HistoryCompacted | StoreUnavailable:
        """Returns the changes that an answer holds."""
        if answer.status == GONE_STATUS:
            return HistoryCompacted()
        table = read_response(answer)
        if isinstance(table, StoreUnavailable):
            return table
        try:
            revision = read_integer(table, 'CurrentRev')
            items = read_objects(table, 'events')
            events, invalid = decode_entries(items)
        except InvalidField as error:
            return StoreUnavailable(f'unusable changes: {error}')
        return EntryChanges(revision, events, invalid, len(items))


def read_response(answer: Response) -> JsonObject | StoreUnavailable:
    """Returns the object of a successful answer."""
    if answer.status != 200:
        return StoreUnavailable(f'status {answer.status}')
    try:
        return read_object(answer.body, 'answer')
    except InvalidField as error:
        return StoreUnavailable(str(error))


def decode_entries(
    items: list[JsonObject],
) -> tuple[tuple[StoreEvent, ...], tuple[InvalidEntry, ...]]:
    """Returns the usable entries and the others."""
    events: list[StoreEvent] = []
    invalid: list[InvalidEntry] = []
    for item in items:
        key = str(item.get('Key', ''))
        try:
            event = decode_entry(key, item)
        except InvalidField as error:
            invalid.append(InvalidEntry(key, error.field, error.reason))
            continue
        if event is not None:
            events.append(event)
    return tuple(events), tuple(invalid)


def decode_entry(key: str, item: JsonObject) -> StoreEvent | None:
    """Returns the event of an entry; None if it is of no concern."""
    revision = read_integer(item, 'Revision')
    removed = item.get('Removed') is True
    if key == CONFIGURATION_KEY and not removed:
        return ConfigurationUpdated(decode_configuration(decode_value(item)))
    if not key.startswith(SERVER_PREFIX):
        return None
    name = key.removeprefix(SERVER_PREFIX)
    if removed:
        return ServerRemoved(name, revision)
    return ServerUpdated(decode_server(name, decode_value(item)), revision)


def decode_value(item: JsonObject) -> bytes:
    """Returns an entry's bytes."""
    try:
        return b64decode(read_string(item, 'Value'), validate=True)
    except Base64Error as error:
        raise InvalidField('Value', 'not base64') from error
