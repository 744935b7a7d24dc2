"""Tests of the selection of hosts that watch the platform."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.configuration.watcherselection import WATCHERS_PER_DOMAIN
from cowslipmill.configuration.watcherselection import WatcherSelection

HOSTS = [f'host-{index}' for index in range(12)]


def watching_hosts(
    selections: dict[str, WatcherSelection], now: float
) -> set[str]:
    """Returns the names of the hosts that watch the platform."""
    return {
        host
        for host, selection in selections.items()
        if selection.should_watch(HOSTS, now)
    }


@pytest.fixture
def selections() -> dict[str, WatcherSelection]:
    """Returns the watcher selection of each host of a failure domain."""
    return {host: WatcherSelection(host, 0.0) for host in HOSTS}


def test_only_top_ranked_hosts_watch_at_first(
    selections: dict[str, WatcherSelection],
) -> None:
    """At the start only the hosts that rank first watch the platform."""
    assert_that(
        len(watching_hosts(selections, 1.0)), Equals(WATCHERS_PER_DOMAIN)
    )


def test_every_host_gets_a_turn_and_few_watch_at_a_time(
    selections: dict[str, WatcherSelection],
) -> None:
    """While no host reaches the platform, all others try in turns."""
    tried: set[str] = set()
    for tenth in range(400):
        now = tenth / 10
        found = watching_hosts(selections, now)
        assert len(found) <= 2 * WATCHERS_PER_DOMAIN, (now, found)
        tried |= found
    assert_that(tried, Equals(set(HOSTS)))


def test_host_that_reaches_the_platform_keeps_watching(
    selections: dict[str, WatcherSelection],
) -> None:
    """The turns end once one host reaches the platform; it keeps watching."""
    regular = watching_hosts(selections, 0.0)
    reaching_host = next(host for host in HOSTS if host not in regular)
    for step in range(60):
        now = 20.0 + step
        selections[reaching_host].record_success(now)
        contact = selections[reaching_host].preferred_contact(now)
        assert contact is not None
        for selection in selections.values():
            selection.merge_contact(contact, now)
        assert_that(
            watching_hosts(selections, now), Equals(regular | {reaching_host})
        )
