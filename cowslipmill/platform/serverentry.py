"""Decodes what backend servers say of themselves in the store."""

from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import read_address
from cowslipmill.platform.fields import read_integer
from cowslipmill.platform.fields import read_number
from cowslipmill.platform.fields import read_object
from cowslipmill.platform.fields import read_string
from cowslipmill.view.server import ServerRecord

LEAVING_BY_STATE = {'ready': False, 'draining': True}


def decode_server(name: str, raw: bytes) -> ServerRecord:
    """Returns a server's record.

    Args:
        name: The server's name, from its key.
        raw: The bytes that the store holds.

    Raises:
        InvalidField: If a field is missing or faulty.
    """
    table = read_object(raw, 'server')
    state = read_string(table, 'State')
    if state not in LEAVING_BY_STATE:
        raise InvalidField('State', f'{state!r} is not known')
    # The counter says nothing that this product uses, but a record without
    # it comes from another writer.
    read_integer(table, 'Sequence')
    return ServerRecord(
        name=name,
        started_ms=read_integer(table, 'born'),
        service=read_string(table, 'Service'),
        address=read_address(read_string(table, 'Address'), 'Address'),
        failure_domain=read_string(table, 'Zone'),
        slots=read_integer(table, 'Slots', minimum=1),
        leaving=LEAVING_BY_STATE[state],
        warm_up_s=read_number(table, 'WarmupLeftMs') / 1000,
    )
