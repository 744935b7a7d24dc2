"""Tests of how many hosts learn of each other.

Guard against links and messages of each host that grow with the fleet, and
against hosts that stay unknown.
"""

from asyncio import get_running_loop
from asyncio import sleep
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from cowslipmill.fleet.gossip import CATCH_UP_TIMEOUT_S
from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.gossip import MAX_GREETED
from cowslipmill.fleet.gossip import MAX_NEIGHBOURS
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.messages import News
from cowslipmill.fleet.messages import Suspects
from cowslipmill.fleet.tests.network import FakeNetwork
from cowslipmill.fleet.tests.network import SEEDS
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.tests.conftest import make_configuration
from cowslipmill.view.tests.conftest import make_record

# Within this time after a disturbance, hosts keep all promises again.
KNOWN_S = 3.0
DOMAINS = 5
# From power on to the first answer, nine of ten hosts may take this long.
SOON_S = 0.6
SEED = ('10.0.0.0', 80)
LATE = Member('late', 'domain-0', ('10.9.9.9', 80), 1)


@pytest_asyncio.fixture
async def network() -> AsyncIterator[FakeNetwork]:
    """Returns a network without hosts."""
    network = FakeNetwork()
    yield network
    await network.stop()


async def seconds_until_known(network: FakeNetwork) -> float:
    """Waits until all hosts know each other; returns how long it took."""
    loop = get_running_loop()
    started_at = loop.time()
    while not network.knows_all():
        assert loop.time() - started_at < 2 * KNOWN_S, 'hosts stay unknown'
        await sleep(0.05)
    return loop.time() - started_at


@pytest.mark.parametrize('count', [5, 60, 300])
async def test_hosts_that_start_at_once_know_each_other_soon(
    network: FakeNetwork, count: int
) -> None:
    """Whatever their number."""
    await network.start(count, DOMAINS)
    assert_that(await seconds_until_known(network), LessThan(KNOWN_S))


async def test_a_host_greets_few_hosts_of_a_large_domain(
    network: FakeNetwork,
) -> None:
    """Each greeting opens a link and gets the whole member list."""
    await network.start(300, DOMAINS)
    await seconds_until_known(network)
    greetings = sum(rpc.sent['Hello'] for rpc in network.rpcs())
    mean = greetings / len(network.hosts)
    # As others are learned of, the first in order change a few times.
    assert_that(mean, LessThan(3 * MAX_GREETED))


async def test_new_hosts_are_announced_together(network: FakeNetwork) -> None:
    """Each announcement has every host rank its members anew."""
    await network.start(300, DOMAINS)
    await seconds_until_known(network)
    per_domain = 300 / DOMAINS
    announcements = sum(rpc.sent['Members'] for rpc in network.rpcs())
    mean_received = announcements / len(network.hosts)
    assert_that(mean_received, LessThan(2 * per_domain))


async def test_a_host_compares_with_few_hosts(network: FakeNetwork) -> None:
    """Each other one would be one more link."""
    await network.start(60, 1)
    await seconds_until_known(network)
    for gossip in network.hosts.values():
        peers = {gossip.choose_peer(number) for number in range(200)}
        assert_that(len(peers), LessThan(MAX_NEIGHBOURS + 1))


async def test_a_host_is_known_although_the_relays_are_down(
    network: FakeNetwork,
) -> None:
    """Others tell of it in their place."""
    await network.start(60, 1)
    await seconds_until_known(network)
    some = next(iter(network.hosts.values()))
    ranked = some.member_list.ranked_states('relay', LATE.failure_domain)
    down = [state.member for state in ranked[:MAX_GREETED]]
    for member in down:
        if member.address not in network.seeds:
            await network.hosts.pop(member.address).stop()
    await network.start_host(LATE)
    assert_that(await seconds_until_known(network), LessThan(KNOWN_S))


async def test_a_host_is_known_although_all_seeds_but_one_are_down(
    network: FakeNetwork,
) -> None:
    """The one that is left tells it of all others."""
    await network.start(60, DOMAINS)
    await seconds_until_known(network)
    for address in network.seeds[: SEEDS - 1]:
        await network.hosts.pop(address).stop()
    late = await network.start_host(LATE)
    assert_that(await seconds_until_known(network), LessThan(SOON_S))
    assert_that(len(late.member_list.states), Equals(60 + 1))


async def test_hosts_that_start_before_the_seeds_know_them_soon(
    network: FakeNetwork,
) -> None:
    """After a loss of power, small hosts take the longest to start."""
    network.silent = False
    await network.start(60, DOMAINS, seeds_late_s=0.15)
    assert_that(await seconds_until_known(network), LessThan(SOON_S))


async def ignore(message: Suspects, sender: str) -> None:
    """Takes no suspect requests from a comparison."""


async def test_a_host_that_starts_cut_off_is_told_suspects_on_contact(
    network: FakeNetwork,
) -> None:
    """It has waited in vain, and serves without knowing them."""
    network.silent = False
    network.seeds = (SEED,)
    late = await network.start_host(LATE)
    late.rpc.register(Suspects, ignore)
    await sleep(2 * CATCH_UP_TIMEOUT_S)
    await network.start(SEEDS, 1)
    for address in network.seeds:
        gossip = network.hosts[address]
        gossip.rpc.register(Suspects, ignore)
        for server in ('server-0/1', 'server-1/1'):
            gossip.suspects.report_crash(b'crasher', server, gossip.clock())
    await sleep(KNOWN_S)
    assert_that(late.suspects.is_suspect(b'crasher'), Equals(True))


def fill_view(gossip: Gossip) -> None:
    """Lets a host know the store."""
    events: list[StoreEvent] = [
        ConfigurationUpdated(make_configuration(1)),
        ServerUpdated(make_record(1), 2),
    ]
    now = get_running_loop().time()
    gossip.view.apply_events(events, now)
    gossip.view.advance(2, now)


async def seconds_until_usable(network: FakeNetwork) -> float:
    """Waits until all hosts have a view; returns how long it took."""
    loop = get_running_loop()
    started_at = loop.time()
    while not all(g.view.usable for g in network.hosts.values()):
        assert loop.time() - started_at < 2 * KNOWN_S, 'hosts lack a view'
        await sleep(0.05)
    return loop.time() - started_at


async def test_a_host_that_starts_fetches_one_view_from_its_domain(
    network: FakeNetwork,
) -> None:
    """Views of thousands of servers fill its link, and links of domains."""
    network.snapshot_s = 0.3
    await network.start(60, DOMAINS)
    await seconds_until_known(network)
    for gossip in network.hosts.values():
        fill_view(gossip)
    late = await network.start_host(LATE)
    await seconds_until_usable(network)
    await sleep(1.0)
    rpc: Any = late.rpc
    (source,) = rpc.snapshots_from
    domain = network.hosts[source].member_list.own.failure_domain
    assert_that(domain, Equals(LATE.failure_domain))


async def test_many_gaps_are_filled_by_few_views(network: FakeNetwork) -> None:
    """When all hosts start at once, each tells the others what it has read."""
    network.snapshot_s = 0.3
    await network.start(60, 1)
    await seconds_until_known(network)
    first, *others = network.hosts.values()
    for gossip in others:
        fill_view(gossip)
        own = gossip.member_list.own.name
        news = News(2, 2, 0.0, (), own, relay=False)
        await first.on_news(news, own)
        await sleep(0.01)
    await seconds_until_usable(network)
    rpc: Any = first.rpc
    assert_that(len(rpc.snapshots_from), LessThan(3))


async def test_a_view_is_fetched_again_if_a_newer_one_was_told_meanwhile(
    network: FakeNetwork,
) -> None:
    """What the first one lacks may come with no later update."""
    network.snapshot_s = 0.3
    await network.start(3, 1)
    await seconds_until_known(network)
    first, second, third = network.hosts.values()
    fill_view(second)
    fill_view(third)
    third.view.advance(5, get_running_loop().time())
    for gossip in (second, third):
        own = gossip.member_list.own.name
        revision = gossip.view.revision
        await first.on_news(
            News(revision, revision, 0.0, (), own, relay=False), own
        )
        await sleep(0.01)
    await sleep(1.0)
    assert_that(first.view.revision, Equals(5))


@pytest.mark.parametrize('silent', [False, True])
async def test_a_host_whose_domain_is_gone_gets_the_view_from_another(
    network: FakeNetwork, silent: bool
) -> None:
    """The store may be away at the same time."""
    network.silent = silent
    await network.start(60, DOMAINS)
    await seconds_until_known(network)
    for gossip in list(network.hosts.values()):
        fill_view(gossip)
        member = gossip.member_list.own
        if member.failure_domain == LATE.failure_domain:
            await network.hosts.pop(member.address).stop()
    await network.start_host(LATE)
    assert_that(await seconds_until_usable(network), LessThan(KNOWN_S))


async def seconds_until_caught_up(network: FakeNetwork) -> float:
    """Waits until no host holds requests for suspects any more."""
    loop = get_running_loop()
    started_at = loop.time()
    while not all(gossip.caught_up for gossip in network.hosts.values()):
        await sleep(0.01)
    return loop.time() - started_at


async def test_a_fleet_that_starts_anew_waits_for_no_one(
    network: FakeNetwork,
) -> None:
    """After a loss of power, callers would wait for what nobody knows."""
    await network.start(60, 3)
    waited_s = await seconds_until_caught_up(network)
    assert_that(waited_s, LessThan(CATCH_UP_TIMEOUT_S / 2))


async def test_a_domain_that_starts_anew_is_told_by_the_others(
    network: FakeNetwork,
) -> None:
    """Its hosts would send a crasher that the other domains know."""
    await network.start(60, 3)
    await seconds_until_known(network)
    some = network.hosts[SEED]
    some.suspects.report_crash(b'f' * 12, 'server/1', some.clock())
    lost = [
        gossip.member_list.own
        for gossip in network.hosts.values()
        if gossip.member_list.own.failure_domain == 'domain-1'
    ]
    for member in lost:
        await network.hosts.pop(member.address).stop()
    for member in lost:
        await network.start_host(member)
    await seconds_until_caught_up(network)
    hosts = [network.hosts[member.address] for member in lost]
    starting = [gossip.is_fleet_starting for gossip in hosts]
    told = [gossip.told_suspects for gossip in hosts]
    assert_that(any(starting), Equals(False))
    assert_that(all(told), Equals(True))
