"""Tests of decoding successive versions of a document."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is

from cowslipmill.document.cache import DocumentCache
from cowslipmill.document.checker import decode_document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.launch.layout import EXAMPLES


@pytest.mark.parametrize('name', ['caroni', 'mtatsminda'])
def test_document_is_the_same_as_without_the_cache(name: str) -> None:
    """Decoding item by item gives the same as decoding at once."""
    raw = (EXAMPLES / name / 'document.json').read_bytes()
    assert_that(DocumentCache().decode(raw), Equals(decode_document(raw)))


def test_unchanged_sections_stay_the_same_objects() -> None:
    """Only the item that changed is decoded again."""
    content = json.loads((EXAMPLES / 'caroni/document.json').read_bytes())
    cache = DocumentCache()
    before = cache.decode(json.dumps(content).encode())
    content['version'] = 2
    content['routes'][0]['deadline_ms'] = 1234
    after = cache.decode(json.dumps(content).encode())
    assert_that(after.routes[0].deadline_ms, Equals(1234))
    assert_that(after.routes[1], Is(before.routes[1]))
    assert_that(after.services[0], Is(before.services[0]))


def test_faulty_section_is_named() -> None:
    """A problem inside an item is reported with its path."""
    content = json.loads((EXAMPLES / 'caroni/document.json').read_bytes())
    content['routes'][1]['deadline_ms'] = -1
    with pytest.raises(InvalidDocument) as caught:
        DocumentCache().decode(json.dumps(content).encode())
    assert_that(
        caught.value.problems[0].path, Equals('$.routes[1].deadline_ms')
    )
