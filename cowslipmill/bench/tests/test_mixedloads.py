"""Replays the loads of docs/design/hard-load.md without a network.

Guards against a decision that serves callers worse than the former one, or
much worse than a scheduler that knows every arrival, work and slow period.
"""

from functools import cache

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.bench.mixedloads import CATALOGUE
from cowslipmill.bench.mixedloads import IMAGING
from cowslipmill.bench.mixedloads import LoadOutcome
from cowslipmill.bench.mixedloads import make_loads
from cowslipmill.bench.mixedloads import MixedService
from cowslipmill.bench.mixedloads import play
from cowslipmill.bench.mixedloads import play_groups
from cowslipmill.bench.mixedloads import SERVICES

SEEDS = (1,)
# Share of the benefit of the clairvoyant scheduler that the page asks for.
MIN_SHARE_OF_BOUND = 0.9
# No kind may be served less than a quarter as often as all.
MIN_SHARE_OF_ALL = 0.25
# A kind is clearly worse off than another one below this share of it, half of
# the distance that the target leaves to the bound.
CLEARLY_WORSE = 0.95
# The loads that the page names.
NAMES = (
    'burst',
    'impatient callers',
    'loss of a failure domain',
    'cold servers',
    'a fifth slow',
)
CASES = [(service, name) for service in SERVICES for name in NAMES]


@cache
def outcome(service_name: str, load_name: str, way: str) -> LoadOutcome:
    """Returns the outcome of a load, played once for all tests."""
    service = next(s for s in SERVICES if s.name == service_name)
    load = next(x for x in make_loads(service) if x.name == load_name)
    return play(service, load, way, SEEDS)


def case_name(value: object) -> str:
    """Returns the name of a case in test reports."""
    return value.name if isinstance(value, MixedService) else str(value)


@pytest.mark.parametrize(('service', 'load'), CASES, ids=case_name)
def test_callers_get_nearly_what_foresight_could_give(
    service: MixedService, load: str
) -> None:
    """Guards against capacity that is spent on what is worth little."""
    bound = outcome(service.name, load, 'bound').benefit
    new = outcome(service.name, load, 'new').benefit
    assert_that(new, GreaterThan(MIN_SHARE_OF_BOUND * bound))


@pytest.mark.parametrize(('service', 'load'), CASES, ids=case_name)
def test_callers_are_not_served_worse_than_by_age(
    service: MixedService, load: str
) -> None:
    """Guards against a rule that loses to the order by priority and age."""
    old = outcome(service.name, load, 'old').benefit
    new = outcome(service.name, load, 'new').benefit
    # Less than one caller in a thousand is no loss.
    assert_that(new, GreaterThan(old - 0.001))


@pytest.mark.parametrize(('service', 'load'), CASES, ids=case_name)
def test_no_server_gets_more_requests_than_slots(
    service: MixedService, load: str
) -> None:
    """Guards against requests that a full server never answers."""
    overfull = outcome(service.name, load, 'new').overfull
    assert_that(overfull, Equals(False))


@pytest.mark.parametrize(('service', 'load'), CASES, ids=case_name)
def test_no_kind_is_starved(service: MixedService, load: str) -> None:
    """Guards against a kind that is served far less than the others."""
    kinds = outcome(service.name, load, 'new').kinds.values()
    least = min(kind.served for kind in kinds)
    mean = sum(kind.served for kind in kinds) / len(kinds)
    assert_that(least, GreaterThan(MIN_SHARE_OF_ALL * mean))


def test_a_burst_of_less_urgent_requests_spares_urgent_ones() -> None:
    """Guards against urgent requests that wait behind less urgent ones."""
    kinds = outcome('imaging', 'burst of the other kind', 'new').kinds
    assert_that(
        kinds['queries'].in_time,
        GreaterThan(CLEARLY_WORSE * kinds['downloads'].in_time),
    )


@pytest.mark.parametrize('service', [IMAGING, CATALOGUE], ids=case_name)
def test_retries_without_a_pause_gain_no_capacity(
    service: MixedService,
) -> None:
    """Guards against callers that gain by not honouring `Retry-After`."""
    patient, impatient = play_split(service)
    assert_that(impatient, LessThan(patient / CLEARLY_WORSE))


def play_split(service: MixedService) -> tuple[float, float]:
    """Returns the benefit of patient and of impatient callers."""
    load = next(
        x for x in make_loads(service) if x.name == 'impatient callers'
    )
    groups = play_groups(service, load, SEEDS)
    return groups[False], groups[True]
