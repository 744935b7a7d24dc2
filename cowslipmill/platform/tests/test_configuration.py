"""Configuration that the operator publishes."""

from json import dumps
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.platform.configuration import decode_configuration
from cowslipmill.platform.errors import InvalidField


def encode(kind: str, name: str) -> bytes:
    """Returns a configuration whose first service or route has a name."""
    configuration: dict[str, Any] = make_test_configuration(1)
    entry = configuration[kind][0]
    if kind == 'Services':
        configuration['Routes'] = []
    entry['Name'] = name
    return dumps(configuration).encode()


@pytest.mark.parametrize('kind', ['Services', 'Routes'])
def test_a_name_must_fit_into_messages(kind: str) -> None:
    """Other hosts would drop each lease request that holds it."""
    decode_configuration(encode(kind, 'n' * 1_024))
    with pytest.raises(InvalidField) as caught:
        decode_configuration(encode(kind, 'n' * 1_025))
    assert_that(str(caught.value), Equals('Name: too long'))


@pytest.mark.parametrize(
    ('kind', 'idempotent', 'bulk'),
    [
        ('safe', True, False),
        ('unsafe', False, False),
        ('download', True, True),
        ('upload', False, True),
    ],
)
def test_the_kind_tells_what_may_be_repeated(
    kind: str, idempotent: bool, bulk: bool
) -> None:
    """A kind that isn't known would leave its host without routes."""
    fields: dict[str, Any] = make_test_configuration(1)
    fields['Routes'][0]['Kind'] = kind
    route = decode_configuration(dumps(fields).encode()).routes[0]
    assert_that((route.idempotent, route.bulk), Equals((idempotent, bulk)))


def test_an_unknown_kind_is_named_with_its_route() -> None:
    """The operator couldn't tell why the last configuration stays in force."""
    fields: dict[str, Any] = make_test_configuration(1)
    fields['Routes'][0].update(Name='first', Kind='stream')
    with pytest.raises(InvalidField) as caught:
        decode_configuration(dumps(fields).encode())
    assert_that(
        str(caught.value),
        Equals("Kind: 'stream' of route 'first' is not known"),
    )
