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


@pytest.mark.parametrize(
    ('fields', 'per_s'), [({}, 0.0), ({'WarmupPerS': 3.6}, 3.6)]
)
def test_a_service_may_limit_requests_to_cold_servers(
    fields: dict[str, Any], per_s: float
) -> None:
    """Cold servers would get more than they withstand, or less for nothing."""
    configuration: dict[str, Any] = make_test_configuration(1)
    configuration['Services'][0].update(fields)
    decoded = decode_configuration(dumps(configuration).encode())
    assert_that(decoded.services[0].warm_up_per_s, Equals(per_s))


@pytest.mark.parametrize('value', [-1, 'fast', None, True])
def test_a_limit_of_cold_servers_that_is_no_rate_is_rejected(
    value: object,
) -> None:
    """A version with a slip would lift the limit of the last one."""
    configuration: dict[str, Any] = make_test_configuration(1)
    configuration['Services'][0]['WarmupPerS'] = value
    with pytest.raises(InvalidField):
        decode_configuration(dumps(configuration).encode())
