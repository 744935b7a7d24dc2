"""Tests of changes between two versions of the configuration."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.view.change import apply_change
from cowslipmill.view.change import diff_configurations
from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Service
from cowslipmill.view.tests.conftest import make_configuration
from cowslipmill.view.tests.conftest import make_route

ROUTES = st.dictionaries(
    st.sampled_from([f'/{name}/' for name in 'abcdefgh']),
    st.sampled_from([0.5, 1.0, 2.0]),
    min_size=1,
)


def make_configuration_with(
    version: int, timeouts: dict[str, float]
) -> Configuration:
    routes = [make_route(p, timeout_s=t) for p, t in timeouts.items()]
    return make_configuration(version, *routes)


@given(ROUTES, ROUTES)
def test_applying_a_change_gives_the_new_version(
    before: dict[str, float], after: dict[str, float]
) -> None:
    old, new = (
        make_configuration_with(1, before),
        make_configuration_with(4, after),
    )
    change = diff_configurations(old, new)
    assert change is not None
    result = apply_change(old, change)
    assert_that(result.version, Equals(4))
    assert_that(set(result.routes), Equals(set(new.routes)))
    assert_that(len(result.routes), Equals(len(new.routes)))


def test_a_change_holds_only_the_changed_route() -> None:
    timeouts = {f'/{number}/': 1.0 for number in range(2_000)}
    old = make_configuration_with(1, timeouts)
    new = make_configuration_with(2, {**timeouts, '/7/': 2.0})
    change = diff_configurations(old, new)
    assert change is not None
    assert_that([r.prefix for r in change.routes], Equals(['/7/']))
    assert_that((change.removed_routes, change.services), Equals(((), None)))


def test_changed_services_and_limits_are_applied() -> None:
    old = make_configuration(1)
    limits = replace(old.limits, idle_s=99.0)
    new = replace(
        old, version=2, services=(Service('other', '/', 9),), limits=limits
    )
    change = diff_configurations(old, new)
    assert change is not None
    assert_that(apply_change(old, change), Equals(new))


def test_no_change_between_versions_with_duplicate_route_names() -> None:
    duplicated = make_configuration(2, make_route('/a/'), make_route('/a/'))
    assert_that(
        diff_configurations(make_configuration(1), duplicated), Equals(None)
    )
