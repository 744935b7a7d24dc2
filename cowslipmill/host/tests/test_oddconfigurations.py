"""Tests of odd values in the configuration that hosts read.

Guard against hosts that end, or that follow the store no longer, since one
configuration can't be read.
"""

from asyncio import sleep
from json import dumps
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.host.tests.test_oddentries import check_hosts_follow
from cowslipmill.host.tests.test_oddentries import ODD_VALUES
from cowslipmill.standin.published import SERVICE

VALUES = [
    *ODD_VALUES.values(),
    'null',
    'true',
    '[]',
    '[[]]',
    '[null]',
    '{}',
    '""',
    '0',
    '-1',
    '0.5',
    '1e308',
    '-0.0',
    str(2**53),
    '"/a b\\r\\nx: y/"',
    '"\\u0000"',
]
FIELDS = {
    'Routes': (
        'Name',
        'Host',
        'Prefix',
        'Kind',
        'Service',
        'TrafficSplit',
        'TimeoutMs',
        'TargetLatencyMs',
        'MaxAttempts',
        'Priority',
    ),
    'Services': ('Name', 'HealthPath', 'MaxConnections'),
    'Limits': (
        'MaxHeaderBytes',
        'MaxBodyBytes',
        'HeaderTimeoutMs',
        'IdleTimeoutMs',
    ),
    '': ('Version', 'Routes', 'Services', 'Limits'),
}
FIRST_VERSION = 256
NEXT_VERSION = 4096


def encode(fields: dict[str, Any], section: str, name: str) -> str:
    """Returns a configuration whose field, or one of its section, is ODD."""
    changed = dict(fields)
    if not section:
        changed[name] = 'ODD'
    elif section == 'Limits':
        changed[section] = {**fields[section], name: 'ODD'}
    else:
        first, *others = fields[section]
        changed[section] = [{**first, name: 'ODD'}, *others]
    return dumps(changed)


def encode_twice(fields: dict[str, Any], value: str) -> str:
    """Returns a configuration that has each of its fields once more."""
    text = dumps(fields)
    twice = ', '.join(f'{dumps(name)}: {value}' for name in fields)
    return f'{{{twice}, {text[1:]}'


def crashed(fleet: Fleet) -> list[bool]:
    """Returns whether each host has ended."""
    return [host.should_stop or host.crashed for host in fleet.hosts]


@pytest.mark.parametrize('section', list(FIELDS))
async def test_odd_configurations_end_no_host(
    fleet: Fleet, section: str
) -> None:
    """Nor the one that starts; the next whole one is in force at once."""
    await fleet.add_host()
    await fleet.wait_until_ready()
    version = FIRST_VERSION
    for name in FIELDS[section]:
        for value in VALUES:
            version += 1
            fields = make_test_configuration(version)
            raw = encode(fields, section, name).replace('"ODD"', value)
            fleet.store.put_raw('op/config', raw.encode())
            await sleep(0.02)
            # Whatever is in force now, a request is answered.
            await fleet.send_request('/read/1', host=version % 2)
    assert_that(crashed(fleet), Equals([False] * 2))
    fleet.store.compact()
    await fleet.restart_host(0)
    await sleep(1.0)
    await check_hosts_follow(fleet, NEXT_VERSION)
    assert_that(crashed(fleet), Equals([False] * 2))


async def test_a_configuration_with_fields_given_twice(fleet: Fleet) -> None:
    """It is taken or left as a whole, and the next one is in force."""
    await fleet.add_host()
    await fleet.wait_until_ready()
    for number, value in enumerate(VALUES):
        fields = make_test_configuration(FIRST_VERSION + number)
        raw = encode_twice(fields, value)
        fleet.store.put_raw('op/config', raw.encode())
        await sleep(0.05)
        response = await fleet.send_request('/read/1', host=number % 2)
        assert_that(response.status, Equals(200))
    await check_hosts_follow(fleet, NEXT_VERSION)


async def test_unreadable_configurations_leave_the_last_one_in_force(
    fleet: Fleet,
) -> None:
    """Bytes that are no object, or only a part of one."""
    await fleet.add_host()
    await fleet.wait_until_ready()
    whole = dumps(make_test_configuration(FIRST_VERSION)).encode()
    for number, raw in enumerate(
        [
            b'',
            b'\x00' * 64,
            b'\xff\xfe' + whole,
            whole[: len(whole) // 2],
            whole + whole,
            b'[' + whole + b']',
            whole.replace(SERVICE.encode(), b'catal\xff'),
            *(value.encode() for value in VALUES),
        ]
    ):
        fleet.store.put_raw('op/config', raw)
        await sleep(0.05)
        response = await fleet.send_request('/book/1', host=number % 2)
        assert_that(response.status, Equals(200))
        assert_that([h.view.version for h in fleet.hosts], Equals([1, 1]))
    await check_hosts_follow(fleet, NEXT_VERSION)
