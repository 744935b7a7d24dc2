"""Tests of entries that another writer left among those of the servers.

Guard against hosts that end, or that follow the store no longer, since one
entry can't be read.
"""

from asyncio import sleep
from json import dumps
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_server_entry
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.host.tests.conftest import make_test_route

NESTING = 100_000
DIGITS = '9' * 5_000
FIELDS = (
    'Service',
    'Address',
    'Zone',
    'Slots',
    'State',
    'born',
    'Sequence',
    'WarmupLeftMs',
    'Version',
)
ODD_VALUES = {
    'nested lists': '[' * NESTING + ']' * NESTING,
    'nested objects': '{"a":' * NESTING + '1' + '}' * NESTING,
    'unfinished nesting': '[' * NESTING,
    'moderate nesting': '[' * 400 + ']' * 400,
    'integer': DIGITS,
    'negative integer': '-' + DIGITS,
    'large integer': str(10**18),
    'exponent': '1e999',
    'not a number': 'NaN',
    'port': '"127.0.0.1:65536"',
    'negative port': '"127.0.0.1:-1"',
    'long port': f'"127.0.0.1:{DIGITS}"',
    'port zero': '"127.0.0.1:0"',
    'surrogate': '"\\ud800"',
    'long text': '"' + 'x' * 200_000 + '"',
}


def odd_entry(fields: dict[str, Any], name: str, value: str) -> bytes:
    """Returns an encoded entry with an odd value in one field."""
    marked = dumps({**fields, name: 'ODD'})
    return marked.replace('"ODD"', value).encode()


async def check_hosts_follow(fleet: Fleet, version: int) -> None:
    """Checks that all hosts run, serve, and follow the store."""
    route = make_test_route(f'/book-{version}/', 'unsafe')
    configuration = make_test_configuration(version, route)
    fleet.store.put('op/config', configuration)
    await fleet.wait_until(
        lambda: all(host.view.version == version for host in fleet.hosts)
    )
    for number, host in enumerate(fleet.hosts):
        assert_that(host.should_stop or host.crashed, Equals(False))
        response = await fleet.send_request(f'/book-{version}/1', host=number)
        assert_that(response.status, Equals(200))


@pytest.mark.parametrize('field', FIELDS)
async def test_odd_entries_stop_no_host(fleet: Fleet, field: str) -> None:
    """The reader of the store, the hosts that it tells, and a new one."""
    await fleet.add_host()
    await fleet.wait_until_ready()
    fields = make_server_entry(fleet.backends['one'])
    for number, value in enumerate(ODD_VALUES.values()):
        raw = odd_entry(fields, field, value)
        fleet.store.put_raw(f'servers/odd-{number}', raw)
        await sleep(0.05)
    await check_hosts_follow(fleet, 2)
    fleet.store.compact()
    await fleet.restart_host(0)
    await fleet.add_host()
    await fleet.wait_until_ready()
    await check_hosts_follow(fleet, 3)


@pytest.mark.parametrize('field', FIELDS)
async def test_an_odd_entry_takes_no_server_out_of_use_for_good(
    fleet: Fleet, field: str
) -> None:
    """It has the name of a server, which writes its own entry again."""
    fields = make_server_entry(fleet.backends['one'])
    for value in ODD_VALUES.values():
        raw = odd_entry(fields, field, value)
        fleet.store.put_raw('servers/one', raw)
        await sleep(0.05)
    fleet.store.put('servers/one', {**fields, 'State': 'draining'})
    await fleet.wait_until(
        lambda: fleet.hosts[0].view.servers['one'].record.leaving
    )
    await check_hosts_follow(fleet, 2)


@pytest.mark.parametrize('field', FIELDS)
async def test_an_entry_with_fields_given_twice_stops_no_host(
    fleet: Fleet, field: str
) -> None:
    """The odd value comes first, or last."""
    await fleet.add_host()
    await fleet.wait_until_ready()
    fields = make_server_entry(fleet.backends['one'])
    text = dumps(fields)
    for number, value in enumerate(ODD_VALUES.values()):
        odd = f'"{field}": {value}'
        for place, raw in enumerate(
            (f'{{{odd}, {text[1:]}', f'{text[:-1]}, {odd}}}')
        ):
            key = f'servers/twice-{number}-{place}'
            fleet.store.put_raw(key, raw.encode())
        await sleep(0.02)
    for number in range(len(ODD_VALUES)):
        for place in range(2):
            fleet.store.remove(f'servers/twice-{number}-{place}')
    await sleep(0.2)
    await check_hosts_follow(fleet, 2)
