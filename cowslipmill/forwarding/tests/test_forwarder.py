"""Which of several results of one request counts."""

from asyncio import create_task
from asyncio import sleep

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.forwarding.dialect import Verdict
from cowslipmill.forwarding.forwarder import first_good
from cowslipmill.forwarding.sender import Exchanged
from cowslipmill.forwarding.sender import Lost
from cowslipmill.forwarding.sender import Sent
from cowslipmill.http1.message import Answer

SUCCESS = Sent('one', Verdict.SUCCESS, Answer(200, [], b''))
FAILURE = Sent('two', Verdict.FAILURE, Answer(500, [], b''))
SHED = Sent('three', Verdict.SHED, Answer(503, [], b''))
LOST = Lost('four', 'connection closed', True)


async def ended(result: Exchanged, turns: int) -> Exchanged:
    for _ in range(turns):
        await sleep(0)
    return result


@pytest.mark.parametrize(
    ('results', 'expected'),
    [
        ([SUCCESS], SUCCESS),
        ([LOST, SUCCESS], SUCCESS),
        ([FAILURE, SUCCESS], SUCCESS),
        ([FAILURE, LOST], FAILURE),
        ([LOST, FAILURE], FAILURE),
        ([SHED, FAILURE], FAILURE),
        ([FAILURE, SHED], FAILURE),
        ([LOST], LOST),
    ],
)
async def test_the_best_result_counts(
    results: list[Exchanged], expected: Exchanged
) -> None:
    tasks = {
        create_task(ended(result, turns))
        for turns, result in enumerate(results)
    }
    assert_that(await first_good(tasks), Equals(expected))
