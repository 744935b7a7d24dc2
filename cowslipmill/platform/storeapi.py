"""Builds requests to the platform's store and parses the responses."""

from base64 import b64decode
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
from cowslipmill.platform.fields import require_encodable
from cowslipmill.platform.headers import STORE_ERA
from cowslipmill.platform.serverentry import decode_server
from cowslipmill.runtime.names import MAX_NAME_CHARACTERS
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import EntryChanges
from cowslipmill.view.events import EntryPage
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import HistoryCompacted
from cowslipmill.view.events import InvalidEntry
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.events import StoreUnavailable
from cowslipmill.view.revision import make_revision
from cowslipmill.view.revision import number_of

RANGE_PATH = '/api/kv-range'
WATCH_PATH = '/api/kv-watch'
CONFIGURATION_KEY = 'op/config'
SERVER_PREFIX = 'servers/'
# The failure domain follows; the key is there while it is evacuated.
EVACUATION_PREFIX = 'op/evacuate/'
GONE_STATUS = 410
MAX_ERA = 2**18
MAX_ERA_DIGITS = 6
# How much of a key that can't be used is kept: at least a prefix and the
# longest name, since the entry of a known server is recognised by its name.
MAX_KEY_CHARACTERS = 256


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
        number = number_of(revision)
        target = f'{WATCH_PATH}?Prefix=&after={number}&WaitMs={wait_ms}'
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
            era = read_era(response)
            items = read_objects(fields, 'items')
            revision = read_revision(fields, 'CurrentRev', era)
            events, invalid = decode_entries(items, era)
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
            era = read_era(response)
            revision = read_revision(fields, 'CurrentRev', era)
            items = read_objects(fields, 'events')
            events, invalid = decode_entries(items, era)
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


def read_era(response: Response) -> int:
    """Returns how often the store came back from an older copy.

    Raises:
        InvalidField: If the header is no number.
    """
    text = response.header(STORE_ERA).strip()
    if not text:
        return 0
    if not text.isdigit() or len(text) > MAX_ERA_DIGITS or int(text) > MAX_ERA:
        raise InvalidField(STORE_ERA.decode(), f'not an era: {text[:40]!r}')
    return int(text)


def read_revision(fields: JsonObject, name: str, era: int) -> int:
    """Returns the revision in a field.

    Raises:
        InvalidField: If the field is missing or no revision.
    """
    try:
        return make_revision(era, read_integer(fields, name))
    except ValueError as error:
        raise InvalidField(name, str(error)) from error


def decode_entries(
    items: list[JsonObject], era: int
) -> tuple[tuple[StoreEvent, ...], tuple[InvalidEntry, ...]]:
    """Returns the events of the valid entries, and the invalid entries.

    Entries that a host does not use are in neither.

    Args:
        items: The entries.
        era: The era of the store that holds them.
    """
    events: list[StoreEvent] = []
    invalid: list[InvalidEntry] = []
    for item in items:
        key = item.get('Key')
        key = key if isinstance(key, str) else ''
        try:
            event = decode_entry(key, item, era)
        except InvalidField as error:
            kept = key[:MAX_KEY_CHARACTERS]
            invalid.append(InvalidEntry(kept, error.field, error.reason))
            continue
        if event is not None:
            events.append(event)
    return tuple(events), tuple(invalid)


def decode_entry(key: str, item: JsonObject, era: int) -> StoreEvent | None:
    """Returns the event of an entry; None if a host does not use the entry.

    Raises:
        InvalidField: If a field is missing or invalid.
    """
    require_encodable(key, 'Key')
    revision = read_revision(item, 'Revision', era)
    removed = item.get('Removed') is True
    if key == CONFIGURATION_KEY and not removed:
        return ConfigurationUpdated(decode_configuration(decode_value(item)))
    if key.startswith(EVACUATION_PREFIX):
        # The key alone states it: a value that can't be read counts, too.
        name = read_failure_domain(key.removeprefix(EVACUATION_PREFIX))
        return EvacuationChanged(name, revision, not removed)
    if not key.startswith(SERVER_PREFIX):
        return None
    name = key.removeprefix(SERVER_PREFIX)
    if removed:
        return ServerRemoved(name, revision)
    return ServerUpdated(decode_server(name, decode_value(item)), revision)


def read_failure_domain(name: str) -> str:
    """Returns the name of a failure domain that is part of a key.

    Raises:
        InvalidField: If it is empty or too long to be sent to other hosts.
    """
    if not name:
        raise InvalidField('Key', 'names no failure domain')
    if len(name) > MAX_NAME_CHARACTERS:
        raise InvalidField('Key', 'too long')
    return name


def decode_value(item: JsonObject) -> bytes:
    """Returns the value of an entry.

    Raises:
        InvalidField: If it is missing or isn't base64.
    """
    try:
        return b64decode(read_string(item, 'Value'), validate=True)
    except ValueError as error:
        raise InvalidField('Value', 'not base64') from error
