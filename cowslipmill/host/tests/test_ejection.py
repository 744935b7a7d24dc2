"""Tests of servers that pass their health check and fail requests at once.

Guard against a fleet in which each host learns of such a server by itself.
"""

from asyncio import gather

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.host.tests.conftest import DOMAINS
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.standin.backend import Ending
from cowslipmill.standin.backend import RawAnswer
from cowslipmill.standin.backend import Stream

FAULTS: dict[str, Stream | RawAnswer] = {
    'headers': Stream.HEADERS,
    'interim': Stream.INTERIM,
    'reset': RawAnswer(b'', Ending.RESETS),
    'closed': RawAnswer(b'HTTP/1.1 200 OK\r\n', Ending.CLOSES),
    'noise': RawAnswer(b'no answer\r\n\r\n', Ending.CLOSES),
}
CALLERS = 8
REQUESTS = 30
# Requests of each caller before the server begins to fail.
SOUND_REQUESTS = 5


@pytest.mark.parametrize('fault', list(FAULTS))
async def test_hosts_share_what_a_failing_server_costs(
    large_fleet: Fleet, fault: str
) -> None:
    """Else each host would send it some requests before it knows."""
    for name in ('three', 'four'):
        await large_fleet.add_backend(name, domain=DOMAINS[0])
    await large_fleet.wait_until(
        lambda: all(len(h.view.servers) == 4 for h in large_fleet.hosts)
    )
    bad = large_fleet.backends['two']

    async def call(number: int) -> list[int]:
        """Returns the statuses that a caller gets."""
        host = number % len(large_fleet.hosts)
        statuses = []
        for attempt in range(REQUESTS):
            if attempt == SOUND_REQUESTS:
                bad.fails_at_once = FAULTS[fault]
            target = f'/read/{number}-{attempt}'
            response = await large_fleet.send_request(target, host=host)
            statuses.append(response.status)
        return statuses

    by_caller = await gather(*(call(number) for number in range(CALLERS)))
    statuses = [status for found in by_caller for status in found]
    assert_that(bad.failed_at_once, LessThan(bad.slots + 2))
    assert_that(statuses.count(200) / len(statuses), GreaterThan(0.98))
