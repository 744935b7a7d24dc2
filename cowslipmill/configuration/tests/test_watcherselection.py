"""Tests of the choice of watchers."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.configuration.watcherselection import WATCHERS_PER_DOMAIN
from cowslipmill.configuration.watcherselection import WatcherSelection

HOSTS = [f'host-{index}' for index in range(12)]


def watching_hosts(plans: dict[str, WatcherSelection], now: float) -> set[str]:
    """Returns the hosts that watch."""
    return {
        host for host, plan in plans.items() if plan.should_watch(HOSTS, now)
    }


@pytest.fixture
def plans() -> dict[str, WatcherSelection]:
    """Returns the plan of each host of one failure domain."""
    return {host: WatcherSelection(host, 0.0) for host in HOSTS}


def test_only_top_ranked_hosts_watch_at_first(
    plans: dict[str, WatcherSelection],
) -> None:
    """At first only the watchers by rank call the platform."""
    assert_that(len(watching_hosts(plans, 1.0)), Equals(WATCHERS_PER_DOMAIN))


def test_every_host_gets_a_turn_and_few_watch_at_a_time(
    plans: dict[str, WatcherSelection],
) -> None:
    """While nobody reaches the platform, others try in turns."""
    tried: set[str] = set()
    for tenth in range(400):
        now = tenth / 10
        found = watching_hosts(plans, now)
        assert len(found) <= 2 * WATCHERS_PER_DOMAIN, (now, found)
        tried |= found
    assert_that(tried, Equals(set(HOSTS)))


def test_host_that_reaches_the_platform_keeps_watching(
    plans: dict[str, WatcherSelection],
) -> None:
    """Turns end when one host has got through, and it keeps watching."""
    regular = watching_hosts(plans, 0.0)
    reaching_host = next(host for host in HOSTS if host not in regular)
    for step in range(60):
        now = 20.0 + step
        plans[reaching_host].record_success(now)
        contact = plans[reaching_host].preferred_contact(now)
        assert contact is not None
        for plan in plans.values():
            plan.merge_contact(contact, now)
        assert_that(
            watching_hosts(plans, now), Equals(regular | {reaching_host})
        )
