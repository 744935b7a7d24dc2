"""Tests of what is kept for each name.

Guard against a process that grows with every name that it has ever heard.
"""

from msgspec import convert
from msgspec import ValidationError
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.fleet.messages import AskLease
from cowslipmill.fleet.messages import IdleLoss
from cowslipmill.fleet.messages import Leaving
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.messages import ServerLeaving
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.runtime.names import BoundedDict
from cowslipmill.runtime.names import MAX_LONG_NAME_CHARACTERS
from cowslipmill.runtime.names import MAX_NAME_CHARACTERS
from cowslipmill.suspects.record import MAX_FINGERPRINT_BYTES
from cowslipmill.suspects.record import Summary
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.server import ServerRecord

NAME = 'n' * (MAX_NAME_CHARACTERS + 1)
LONG_NAME = 'n' * (MAX_LONG_NAME_CHARACTERS + 1)
HASH = b'h' * (MAX_FINGERPRINT_BYTES + 1)
ADDRESS = ('10.0.0.1', 1)


def test_a_full_dictionary_forgets_its_first_key() -> None:
    """It would grow with each route that the operator ever named."""
    entries: BoundedDict[str, int] = BoundedDict(2)
    entries['a'] = 1
    entries.setdefault('b', 2)
    entries['a'] = 3
    assert_that(entries, Equals({'a': 3, 'b': 2}))
    assert_that(entries.setdefault('c', 4), Equals(4))
    assert_that(entries, Equals({'b': 2, 'c': 4}))


@pytest.mark.parametrize(
    'kind,fields',
    [
        (Member, [NAME, 'a', ADDRESS, 1]),
        (Member, ['one', NAME, ADDRESS, 1]),
        (Leaving, ['leaving', NAME, 1]),
        (ServerLeaving, ['server-leaving', NAME, 1]),
        (ServerRemoved, ['removed', NAME, 1]),
        (IdleLoss, ['idle-loss', LONG_NAME, 1.0]),
        (Report, ['report', [NAME, 1], 's', 'a', 'one', 0, 0.1]),
        (Report, ['report', ['h', 1], LONG_NAME, 'a', 'one', 0, 0.1]),
        (Report, ['report', ['h', 1], 's', NAME, 'one', 0, 0.1]),
        (Report, ['report', ['h', 1], 's', 'a', NAME, 0, 0.1]),
        (
            AskLease,
            ['ask-lease', ['h', 1], 's', 'a', LONG_NAME]
            + [0, 0.1, 0.1, 1.0, [], None],
        ),
        (Summary, [HASH, 0, [], 0, 0, 0.0]),
        (Summary, [b'h', 0, [[NAME, 1, False]], 0, 0, 0.0]),
        (ServerRecord, [NAME, 1, 's', ADDRESS, 'a', 1, False, 0.0]),
        (ServerRecord, ['one', 1, LONG_NAME, ADDRESS, 'a', 1, False, 0.0]),
        (ServerRecord, ['one', 1, 's', ADDRESS, NAME, 1, False, 0.0]),
    ],
)
def test_no_message_brings_a_name_that_is_too_long(
    kind: type, fields: list[object]
) -> None:
    """Thousands of names are kept, so that each one must be short."""
    with pytest.raises(ValidationError, match='length'):
        convert(fields, kind, builtin_types=(bytes,))
