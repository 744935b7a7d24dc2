"""Tests that decoded JSON stays within its bound."""

from json import loads
from tracemalloc import get_traced_memory
from tracemalloc import start
from tracemalloc import stop

import pytest
from testtools.assertions import assert_that
from testtools.matchers import LessThan

from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import estimate_decoded_bytes
from cowslipmill.platform.fields import read_object


@pytest.mark.parametrize(
    'value',
    ['[]', '{}', '1000', '1e5', '{"a":1}', '""', '[[]]', '"\U0001f600"'],
)
def test_decoded_json_takes_no_more_than_estimated(value: str) -> None:
    """Values of a few bytes take many times that as objects."""
    text = '{"a": [' + ','.join([value] * 50_000) + ']}'
    raw = text.encode()
    start()
    try:
        decoded = loads(raw)
        taken_bytes = get_traced_memory()[1]
    finally:
        stop()
    assert decoded
    assert_that(taken_bytes, LessThan(estimate_decoded_bytes(raw)))


def test_json_that_would_fill_the_process_is_not_decoded() -> None:
    """Eight megabytes of lists take 200 as objects."""
    raw = b'{"a": [' + b'[],' * 1_000_000 + b'[]]}'
    start()
    try:
        with pytest.raises(InvalidField):
            read_object(raw, 'entry')
        taken_bytes = get_traced_memory()[1]
    finally:
        stop()
    assert_that(taken_bytes, LessThan(100_000))
