"""Tests of compressed configurations."""

from random import Random
from string import ascii_lowercase

from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from cowslipmill.peers.codec import Codec
from cowslipmill.peers.codec import Malformed
from cowslipmill.view.configuration import Service
from cowslipmill.view.packed import pack
from cowslipmill.view.packed import PackedConfiguration
from cowslipmill.view.packed import unpack
from cowslipmill.view.tests.conftest import make_configuration
from cowslipmill.view.tests.conftest import make_route
from cowslipmill.view.view import View

# A link of 10 Mbit/s carries this many bytes to each of 40 hosts in 1 s. A
# configuration has to be in force everywhere within 2.5 s.
MAX_BYTES_OF_2000_ROUTES = 31_250


def test_packing_and_unpacking_preserves_the_configuration() -> None:
    configuration = make_configuration(3, make_route('/a/'), make_route('/b/'))
    assert_that(unpack(pack(configuration)), Equals(configuration))


def test_2000_routes_are_compressed_for_slow_links() -> None:
    random = Random(1)
    names = [
        ''.join(random.choices(ascii_lowercase, k=9)) for _ in range(2_000)
    ]
    routes = [make_route(f'/{name}/') for name in names]
    packed = pack(make_configuration(3, *routes))
    assert_that(len(packed.data), LessThan(MAX_BYTES_OF_2000_ROUTES))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_reported_as_malformed(data: bytes) -> None:
    assert_that(unpack(PackedConfiguration(1, data)), IsInstance(Malformed))


def test_an_invalid_packed_configuration_has_no_effect() -> None:
    view = View()
    assert_that(
        view.events_of_packed(PackedConfiguration(1, b'x')), Equals([])
    )
    assert_that(view.configuration, Equals(None))


class OlderService(Struct, frozen=True, array_like=True):
    """A service as builds before 2026-12-07 know it."""

    name: str
    health_path: str
    max_connections: int


def test_a_service_is_read_by_older_builds_and_of_them() -> None:
    """A configuration would not get past hosts of the other build."""
    codec: Codec[Service] = Codec(Service, max_bytes=1_024)
    older_codec: Codec[OlderService] = Codec(OlderService, max_bytes=1_024)
    limited = Service('registry', '/health', 260, 3.6)
    older = OlderService('registry', '/health', 260)
    assert_that(older_codec.decode(codec.encode(limited)), Equals(older))
    assert_that(
        codec.decode(older_codec.encode(older)),
        Equals(Service('registry', '/health', 260, 0.0)),
    )
