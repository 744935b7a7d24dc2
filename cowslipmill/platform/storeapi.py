"""Builds requests to the platform's store and parses the responses."""

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
    """The calls to the platform's key-value store that a host makes.

    Attributes:
        host: Value of the `Host` header.
    """

    __slots__ = ('host',)

    def __init__(self, host: str) -> None:
        """Creates the API for a store.

        Args:
            host: Value of the `Host` header.
        """
        self.host = host

    def build_page_request(self, after_key: str) -> Request:
        """Returns the request for one page of all entries.

        Args:
            after_key: Key after which the page begins; empty for the first.
        """
        target = f'{RANGE_PATH}?Prefix='
        if after_key:
            target += f'&after={quote(after_key, safe="")}'
        return self.build_request(target)

    def build_changes_request(self, revision: int, wait_s: float) -> Request:
        """Returns the request for the changes since a revision.

        Args:
            revision: The last revision known.
            wait_s: How long the store may wait for a change, in seconds.
        """
        wait_ms = int(wait_s * 1000)
        target = f'{WATCH_PATH}?Prefix=&after={revision}&WaitMs={wait_ms}'
        return self.build_request(target)

    def build_request(self, target: str) -> Request:
        """Returns a GET request for a path with its query."""
        headers = [(b'host', self.host.encode())]
        return Request(b'GET', target.encode(), headers, b'')

    def parse_page(self, response: Response) -> EntryPage | StoreUnavailable:
        """Returns the page in a response, or why there is none."""
        fields = read_response(response)
        if isinstance(fields, StoreUnavailable):
            return fields
        try:
            items = read_objects(fields, 'items')
            revision = read_integer(fields, 'CurrentRev')
            events, invalid = decode_entries(items)
            more = fields.get('Truncated') is True and bool(items)
            next_key = read_string(items[-1], 'Key') if more else ''
        except InvalidField as error:
            return StoreUnavailable(f'unusable page: {error}')
        return EntryPage(revision, events, invalid, next_key)

    def parse_changes(
        self, response: Response
    ) -> EntryChanges | HistoryCompacted | StoreUnavailable:
        """Returns the changes in a response, or why there are none.

        Returns:
            HistoryCompacted if the store no longer has all changes since
            the revision of the request.
        """
        if response.status == GONE_STATUS:
            return HistoryCompacted()
        fields = read_response(response)
        if isinstance(fields, StoreUnavailable):
            return fields
        try:
            revision = read_integer(fields, 'CurrentRev')
            items = read_objects(fields, 'events')
            events, invalid = decode_entries(items)
        except InvalidField as error:
            return StoreUnavailable(f'unusable changes: {error}')
        return EntryChanges(revision, events, invalid, len(items))


def read_response(response: Response) -> JsonObject | StoreUnavailable:
    """Returns the JSON object in a response with status 200."""
    if response.status != 200:
        return StoreUnavailable(f'status {response.status}')
    try:
        return read_object(response.body, 'answer')
    except InvalidField as error:
        return StoreUnavailable(str(error))


def decode_entries(
    items: list[JsonObject],
) -> tuple[tuple[StoreEvent, ...], tuple[InvalidEntry, ...]]:
    """Returns the events of the valid entries, and the invalid entries.

    Entries that a host does not use are in neither.
    """
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
    """Returns the event of an entry; None if a host does not use the entry.

    Raises:
        InvalidField: If a field is missing or invalid.
    """
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
    """Returns the value of an entry.

    Raises:
        InvalidField: If it is missing or isn't base64.
    """
    try:
        return b64decode(read_string(item, 'Value'), validate=True)
    except Base64Error as error:
        raise InvalidField('Value', 'not base64') from error
