"""Configurations as hosts hand them to each other."""

from random import Random
from string import ascii_lowercase

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from cowslipmill.peers.codec import Malformed
from cowslipmill.view.packed import pack
from cowslipmill.view.packed import PackedConfiguration
from cowslipmill.view.packed import unpack
from cowslipmill.view.tests.conftest import make_configuration
from cowslipmill.view.tests.conftest import make_route
from cowslipmill.view.view import View

# A link of 10 Mbit/s carries this to 40 hosts within one of the 2.5 s in
# which a configuration has to be in force.
MAX_BYTES_OF_2000_ROUTES = 31_250


def test_a_configuration_survives_the_way() -> None:
    configuration = make_configuration(3, make_route('/a/'), make_route('/b/'))
    assert_that(unpack(pack(configuration)), Equals(configuration))


def test_thousands_of_routes_fit_slow_links() -> None:
    random = Random(1)
    names = [
        ''.join(random.choices(ascii_lowercase, k=9)) for _ in range(2_000)
    ]
    routes = [make_route(f'/{name}/') for name in names]
    packed = pack(make_configuration(3, *routes))
    assert_that(len(packed.data), LessThan(MAX_BYTES_OF_2000_ROUTES))


@given(st.binary(max_size=200))
def test_any_bytes_are_a_configuration_or_none(data: bytes) -> None:
    assert_that(unpack(PackedConfiguration(1, data)), IsInstance(Malformed))


def test_a_faulty_one_changes_nothing() -> None:
    view = View()
    assert_that(
        view.events_of_packed(PackedConfiguration(1, b'x')), Equals([])
    )
    assert_that(view.configuration, Equals(None))
