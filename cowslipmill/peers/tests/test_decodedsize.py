"""Tests of the bound on decoded messages.

Guard against a message of a few megabytes that fills the process once it is
decoded.
"""

from tracemalloc import get_traced_memory
from tracemalloc import start
from tracemalloc import stop
from typing import Any

from cbor2 import dumps
from cbor2 import loads
from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.peers.codec import Codec
from cowslipmill.peers.codec import Malformed
from cowslipmill.peers.codec import MAX_DECODED_BYTES
from cowslipmill.peers.codec import MAX_DECODED_FACTOR
from cowslipmill.peers.decodedsize import measure_decoded

COUNT = 100_000
LIST_HEAD = b'\x9a' + COUNT.to_bytes(4, 'big')
MANY = {
    'empty lists': b'\x80',
    'lists': b'\x81\x00',
    'empty maps': b'\xa0',
    'maps': b'\xa1\x00\x00',
    'sets': b'\xd9\x01\x02\x80',
    'texts': b'\x62ab',
    'wide texts': b'\x65a\xf0\x9f\x90\x84',
    'bytes': b'\x42ab',
    'integers': b'\x19\xff\xfe',
    'large integers': b'\x1b' + b'\xff' * 8,
    'numbers': b'\xf9\x3c\x01',
    'simple values': b'\xf8\x20',
}
# Memory of the decoder itself.
DECODER_BYTES = 100_000

values = st.recursive(
    st.integers(-(2**63), 2**64 - 1) | st.text() | st.binary() | st.floats(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@pytest.mark.parametrize('kind', list(MANY))
def test_no_value_takes_more_than_is_measured(kind: str) -> None:
    """The bound is one on memory, whatever the values are."""
    raw = LIST_HEAD + MANY[kind] * COUNT
    measured = measure_decoded(raw, 10 * MAX_DECODED_BYTES)
    start()
    value = loads(raw)
    _, peak = get_traced_memory()
    stop()
    assert_that(len(value), Equals(COUNT))
    assert_that(peak, LessThan(measured + DECODER_BYTES))
    assert_that(peak, LessThan(MAX_DECODED_FACTOR * len(raw) + DECODER_BYTES))


@given(values)
def test_each_value_of_a_message_is_measured(value: Any) -> None:
    """Measuring neither runs past a string nor ends within a message."""
    raw = dumps(value)
    marked = dumps([value, b'x' * 1_000])
    difference = measure_decoded(marked, 2**62) - measure_decoded(raw, 2**62)
    assert_that(difference, GreaterThan(999))
    assert_that(difference, LessThan(2_000))


def test_a_message_of_too_many_values_is_malformed() -> None:
    """It would be decoded to some 320 MB."""
    codec: Codec[Any] = Codec(list[Any], max_bytes=5_000_000)
    raw = b'\x9a' + (4_000_000).to_bytes(4, 'big') + b'\x80' * 4_000_000
    assert_that(codec.decode(raw), Equals(Malformed('too many values')))


def test_a_large_body_is_no_reason_to_refuse_a_message() -> None:
    """Its bytes look like the beginnings of lists."""
    codec: Codec[Any] = Codec(list[bytes], max_bytes=5_000_000)
    body = b'\x80' * 4_000_000
    assert_that(codec.decode(dumps([body])), Equals([body]))
