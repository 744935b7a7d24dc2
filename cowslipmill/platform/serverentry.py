"""Decodes the entries that backend servers write into the store."""

from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import quote
from cowslipmill.platform.fields import read_address
from cowslipmill.platform.fields import read_integer
from cowslipmill.platform.fields import read_number
from cowslipmill.platform.fields import read_object
from cowslipmill.platform.fields import read_string
from cowslipmill.runtime.names import MAX_NAME_CHARACTERS
from cowslipmill.view.server import ServerRecord

LEAVING_BY_STATE = {'ready': False, 'draining': True}
# Limits of what an entry of a server holds. A later start, or one in another
# unit, would outrank the entries that the server itself writes.
MAX_STARTED_MS = 2**42
MAX_SLOTS = 65_536
MAX_WARM_UP_MS = 86_400_000


def decode_server(name: str, raw: bytes) -> ServerRecord:
    """Returns the record of a server.

    Args:
        name: The server's name, from the key of its entry.
        raw: The encoded entry.

    Raises:
        InvalidField: If a field is missing or invalid.
    """
    if not name or not name.isascii() or not name.isprintable():
        # The name is sent to the server in a header.
        raise InvalidField('Key', f'{quote(name)} is not a name')
    if len(name) > MAX_NAME_CHARACTERS:
        raise InvalidField('Key', 'too long')
    fields = read_object(raw, 'server')
    state = read_string(fields, 'State')
    if state not in LEAVING_BY_STATE:
        raise InvalidField('State', f'{quote(state)} is not known')
    # The sequence number is not used, but an entry without one was not
    # written by a server.
    read_integer(fields, 'Sequence')
    return ServerRecord(
        name=name,
        started_ms=read_integer(fields, 'born', maximum=MAX_STARTED_MS),
        service=read_string(
            fields, 'Service', max_characters=MAX_NAME_CHARACTERS
        ),
        address=read_address(read_string(fields, 'Address'), 'Address'),
        failure_domain=read_string(
            fields, 'Zone', max_characters=MAX_NAME_CHARACTERS
        ),
        slots=read_integer(fields, 'Slots', minimum=1, maximum=MAX_SLOTS),
        leaving=LEAVING_BY_STATE[state],
        warm_up_s=read_number(fields, 'WarmupLeftMs', maximum=MAX_WARM_UP_MS)
        / 1000,
    )
