"""Which result of several attempts of one request is used."""

from asyncio import create_task
from asyncio import sleep

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.forwarding.forwarder import best_result
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.forwarding.sendresult import Lost
from cowslipmill.forwarding.sendresult import SendResult
from cowslipmill.forwarding.sendresult import Sent
from cowslipmill.http1.message import Response

SUCCESS = Sent('one', ResponseClass.SUCCESS, Response(200, [], b''))
FAILURE = Sent('two', ResponseClass.FAILURE, Response(500, [], b''))
SHED = Sent('three', ResponseClass.SHED, Response(503, [], b''))
LOST = Lost('four', 'connection closed', True)


async def return_later(
    result: SendResult | None, loop_iterations: int
) -> SendResult | None:
    for _ in range(loop_iterations):
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
        ([LOST, None], LOST),
        ([None, SHED], SHED),
    ],
)
async def test_the_best_result_is_returned(
    results: list[SendResult | None], expected: SendResult
) -> None:
    tasks = {
        create_task(return_later(result, loop_iterations))
        for loop_iterations, result in enumerate(results)
    }
    assert_that(await best_result(tasks), Equals(expected))
