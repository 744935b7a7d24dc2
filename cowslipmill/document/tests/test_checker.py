"""Tests of decoding and validating documents."""

import json
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals

from cowslipmill.document.checker import decode_document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.launch.layout import EXAMPLES


@pytest.fixture
def content() -> Any:
    """Returns the decoded JSON of a valid document."""
    raw = (EXAMPLES / 'caroni' / 'document.json').read_bytes()
    return json.loads(raw)


def find_paths(content: Any) -> list[str]:
    """Returns the paths of all problems; the document has to be invalid."""
    with pytest.raises(InvalidDocument) as caught:
        decode_document(json.dumps(content).encode())
    return [problem.path for problem in caught.value.problems]


@pytest.mark.parametrize('name', ['caroni', 'mtatsminda'])
def test_examples_are_valid(name: str) -> None:
    """The example documents are decoded without a problem."""
    raw = (EXAMPLES / name / 'document.json').read_bytes()
    assert_that(decode_document(raw).deployment, Equals(name))


def test_every_fault_is_reported_with_its_path(content: Any) -> None:
    """All problems of a document are reported together."""
    content['routes'][1]['deadline_ms'] = 'soon'
    del content['routes'][2]['idempotent']
    content['services'][0]['colour'] = 'red'
    assert_that(
        sorted(find_paths(content)),
        Equals(
            [
                '$.routes[1].deadline_ms',
                '$.routes[2].idempotent',
                '$.services[0].colour',
            ]
        ),
    )


def test_unknown_service_is_refused(content: Any) -> None:
    """A route must name a service of the document."""
    content['routes'][0]['service'] = 'nowhere'
    assert_that(find_paths(content), Contains('$.routes[0].service'))


def test_overlapping_routes_are_refused(content: Any) -> None:
    """Two routes may not match the same requests equally well."""
    content['routes'][0]['path'] = '/technicians/{other}/standing'
    content['routes'][2]['path'] = '/technicians/{id}/standing'
    assert_that(find_paths(content), Equals(['$.routes[2].path']))


@pytest.mark.parametrize('raw', [b'', b'[', b'\xff', b'[]', b'null'])
def test_input_that_is_not_a_document_is_refused(raw: bytes) -> None:
    """Input that is not JSON, or not an object, raises InvalidDocument."""
    with pytest.raises(InvalidDocument):
        decode_document(raw)
