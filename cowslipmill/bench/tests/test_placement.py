"""Placement against an oracle, replayed on simulated time."""

from statistics import quantiles

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.bench.experiments.placement import CALM
from cowslipmill.bench.experiments.placement import RUSH
from cowslipmill.bench.experiments.placement import SCENES
from cowslipmill.bench.placements import Lending
from cowslipmill.bench.placements import Oracle
from cowslipmill.bench.placements import OwnCounts
from cowslipmill.bench.replay import Placement
from cowslipmill.bench.replay import Replay

SEED = 5


@pytest.fixture(params=sorted(SCENES))
def replay(request: pytest.FixtureRequest) -> Replay:
    """Returns an idle service of each deployment."""
    return Replay(SCENES[request.param], SEED)


def p99(replay: Replay, placement: Placement, rate_per_s: float) -> float:
    replay.run(placement, 30.0, rate_per_s)
    return quantiles(replay.latencies, n=100)[98]


def test_the_tail_on_calm_days_is_near_the_oracles(replay: Replay) -> None:
    rate_per_s = CALM * replay.scene.capacity_per_s
    other = Replay(replay.scene, SEED)
    oracle_s = p99(other, Oracle(other), rate_per_s)
    ours_s = p99(replay, Lending(replay), rate_per_s)
    assert_that(ours_s / oracle_s, LessThan(1.25))


def test_the_former_way_has_a_longer_tail(replay: Replay) -> None:
    rate_per_s = CALM * replay.scene.capacity_per_s
    other = Replay(replay.scene, SEED)
    former_s = p99(other, OwnCounts(other), rate_per_s)
    ours_s = p99(replay, Lending(replay), rate_per_s)
    assert_that(former_s / ours_s, GreaterThan(2.0))


def test_goodput_holds_in_a_rush_while_servers_shift(replay: Replay) -> None:
    capacity_per_s = replay.scene.capacity_per_s
    replay.run(Lending(replay), 10.0, RUSH * capacity_per_s)
    goodput = replay.goodput(2, 10) / capacity_per_s
    assert_that(goodput, GreaterThan(0.9))


def test_service_is_back_within_two_seconds_of_a_rush(
    replay: Replay,
) -> None:
    capacity_per_s = replay.scene.capacity_per_s
    home = Lending(replay)
    replay.run(home, 3.0, 0.8 * capacity_per_s)
    replay.run(home, 5.0, RUSH * capacity_per_s)
    replay.run(home, 6.0, 0.8 * capacity_per_s)
    after = replay.goodput(10, 14) / capacity_per_s
    assert_that(after, GreaterThan(0.9 * 0.8))


def test_few_callers_are_held_before_they_are_refused(
    replay: Replay,
) -> None:
    capacity_per_s = replay.scene.capacity_per_s
    replay.run(Lending(replay), 10.0, 2 * RUSH * capacity_per_s)
    at_once = sum(held <= 0.02 for held in replay.held)
    assert_that(at_once / len(replay.held), GreaterThan(0.9))
