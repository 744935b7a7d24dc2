"""Decodes the entries that backend servers write into the store."""

from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import read_address
from cowslipmill.platform.fields import read_integer
from cowslipmill.platform.fields import read_number
from cowslipmill.platform.fields import read_object
from cowslipmill.platform.fields import read_string
from cowslipmill.view.server import ServerRecord

LEAVING_BY_STATE = {'ready': False, 'draining': True}


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
        raise InvalidField('Key', f'{name!r} is not a name')
    fields = read_object(raw, 'server')
    state = read_string(fields, 'State')
    if state not in LEAVING_BY_STATE:
        raise InvalidField('State', f'{state!r} is not known')
    # The sequence number is not used, but an entry without one was not
    # written by a server.
    read_integer(fields, 'Sequence')
    return ServerRecord(
        name=name,
        started_ms=read_integer(fields, 'born'),
        service=read_string(fields, 'Service'),
        address=read_address(read_string(fields, 'Address'), 'Address'),
        failure_domain=read_string(fields, 'Zone'),
        slots=read_integer(fields, 'Slots', minimum=1),
        leaving=LEAVING_BY_STATE[state],
        warm_up_s=read_number(fields, 'WarmupLeftMs') / 1000,
    )
