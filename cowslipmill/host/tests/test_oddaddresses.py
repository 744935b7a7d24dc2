"""Tests of entries of servers whose address is that of something else.

Guard against requests that go in circles, run twice, or are told as not run
though they ran, and against hosts that such an entry ends.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_server_entry
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.host.tests.test_oddentries import check_hosts_follow
from cowslipmill.http1.message import Response

Address = tuple[str, int]

REQUESTS = 40
REQUEST_INTERVAL_S = 0.02
# Statuses by which callers know that a request didn't run.
REFUSALS = {408, 421, 429, 503}
OWNERS = ('callers', 'readiness', 'peers')


def address_of(fleet: Fleet, owner: str, host: int) -> Address:
    """Returns an address on which a host listens, or that of the store."""
    if owner == 'store':
        return fleet.store.address
    settings = fleet.hosts[host].settings
    addresses = {
        'callers': settings.callers_listen,
        'readiness': settings.readiness_listen,
        'peers': settings.peer_listen,
    }
    return addresses[owner]


async def send_requests(fleet: Fleet, label: str) -> list[Response]:
    """Sends requests to the first host, half of them not idempotent."""
    tasks = []
    for number in range(REQUESTS):
        kind = 'book' if number % 2 else 'read'
        target = f'/{kind}/{label}-{number}'
        tasks.append(create_task(fleet.send_request(target)))
        await sleep(REQUEST_INTERVAL_S)
    return list(await gather(*tasks))


def check_outcomes(fleet: Fleet, responses: list[Response]) -> None:
    """Checks that nothing ran twice, and callers were told the truth."""
    runs = [run for b in fleet.backends.values() for run in b.runs]
    unsafe = Counter(run.request_id for run in runs if run.method == 'POST')
    assert_that({n for n in unsafe.values() if n > 1}, Equals(set()))
    ran = {run.request_id for run in runs}
    refused = {
        response.header(b'x-request-id').decode()
        for response in responses
        if response.status in REFUSALS
    }
    assert_that(refused & ran, Equals(set()))


def count_served(responses: list[Response]) -> int:
    """Returns how many requests were answered with success."""
    return sum(response.status == 200 for response in responses)


@pytest.mark.parametrize(
    ('owner', 'host'),
    [(owner, host) for owner in OWNERS for host in (0, 1)] + [('store', 0)],
)
async def test_an_entry_with_the_address_of_a_host_or_the_store(
    fleet: Fleet, owner: str, host: int
) -> None:
    """It is no server, and the others hold."""
    await fleet.add_host()
    await fleet.wait_until_ready()
    ip_address, port = address_of(fleet, owner, host)
    fields = make_server_entry(
        fleet.backends['one'], Address=f'{ip_address}:{port}'
    )
    fleet.store.put('servers/odd', fields)
    await sleep(0.2)
    responses = await send_requests(fleet, 'first')
    check_outcomes(fleet, responses)
    later = await send_requests(fleet, 'later')
    check_outcomes(fleet, responses + later)
    assert_that(count_served(later), GreaterThan(0.9 * REQUESTS))
    await check_hosts_follow(fleet, 2)
    fleet.store.remove('servers/odd')
    await sleep(0.2)
    last = await send_requests(fleet, 'last')
    assert_that(count_served(last), Equals(REQUESTS))


async def test_two_entries_with_one_address(fleet: Fleet) -> None:
    """The server says that it isn't the other one, and is used as itself."""
    fields = make_server_entry(fleet.backends['one'])
    fleet.store.put('servers/odd', fields)
    await sleep(0.2)
    responses = await send_requests(fleet, 'first')
    check_outcomes(fleet, responses)
    later = await send_requests(fleet, 'later')
    check_outcomes(fleet, responses + later)
    assert_that(count_served(later), GreaterThan(0.9 * REQUESTS))
    await check_hosts_follow(fleet, 2)


async def test_an_entry_that_changes_service_and_address_together(
    fleet: Fleet,
) -> None:
    """Requests of its former service don't reach it at the new address."""
    one, two = fleet.backends.values()
    fields = make_server_entry(one)
    ip_address, port = two.address
    for version in range(2, 6):
        changed = {
            **fields,
            'Service': 'another',
            'Address': f'{ip_address}:{port}',
            'Sequence': version,
        }
        fleet.store.put('servers/one', changed)
        responses = await send_requests(fleet, f'changed-{version}')
        check_outcomes(fleet, responses)
        fleet.store.put('servers/one', {**fields, 'Sequence': version})
        responses = await send_requests(fleet, f'back-{version}')
        check_outcomes(fleet, responses)
        await check_hosts_follow(fleet, version)
    assert_that(count_served(responses), GreaterThan(0.9 * REQUESTS))
    changed = {**fields, 'Service': 'another', 'Address': '127.0.0.1:9'}
    fleet.store.put('servers/one', changed)
    await sleep(0.2)
    runs = len(one.runs)
    responses = await send_requests(fleet, 'gone')
    assert_that(len(one.runs), Equals(runs))
    assert_that(count_served(responses), GreaterThan(0.9 * REQUESTS))


async def test_entries_under_odd_keys(fleet: Fleet) -> None:
    """None is a name of a server that is used, and the others hold."""
    fields = make_server_entry(fleet.backends['one'])
    await fleet.add_host()
    await fleet.wait_until_ready()
    for key in (
        'servers/',
        'servers//',
        'servers/one/',
        'servers/one/two',
        'servers/ one',
        'servers/one ',
        'servers/' + 'n' * 192,
        'servers/' + 'n' * 5_000,
        'servers/a:b, c="d"',
        'servers',
        'serversone',
        'op/config/',
        'op/configuration',
        '',
    ):
        fleet.store.put(key, fields)
    await sleep(0.2)
    responses = await send_requests(fleet, 'first')
    check_outcomes(fleet, responses)
    later = await send_requests(fleet, 'later')
    check_outcomes(fleet, responses + later)
    await check_hosts_follow(fleet, 2)
    fleet.store.compact()
    await fleet.restart_host(0)
    await fleet.wait_until_ready()
    fleet.store.put('op/config', make_test_configuration(3))
    await check_hosts_follow(fleet, 4)
