"""Tests of `cowslipmill-status`, run as an operator runs it."""

from asyncio import create_subprocess_exec
from asyncio.subprocess import PIPE
from collections.abc import AsyncIterator
import json
import sys

from aiohttp.test_utils import TestServer
from aiohttp.web import Application
from aiohttp.web import get
from aiohttp.web import Request
from aiohttp.web import Response
from msgspec import json as codec
import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength

from cowslipmill.agent.status import AgentStatus
from cowslipmill.agent.status import MeasuringStatus
from cowslipmill.agent.status import PlatformStatus
from cowslipmill.status.metrics import parse_metrics


class Agents:
    """Two agents that answer.

    Attributes:
        bodies: What each answers, by its port.
        addresses: Their addresses.
    """

    __slots__ = ('addresses', 'bodies')

    def __init__(self) -> None:
        """Starts with nobody."""
        self.bodies: dict[str, bytes] = {}
        self.addresses: list[str] = []

    async def answer(self, request: Request) -> Response:
        """Answers as one of them."""
        return Response(body=self.bodies[request.host])


def make_status(host: str, version: int) -> bytes:
    """Returns the status of a host."""
    return codec.encode(
        AgentStatus(
            host=host,
            failure_domain='domain-a',
            incarnation=1,
            version=version,
            digest=f'digest-of-{version}',
            in_force_ms=12_340,
            refused=(),
            conflicts=(),
            members=(),
            servers=(),
            platform=PlatformStatus(watching=False, up=None, calls=0),
            measuring=MeasuringStatus(servers=0, probes=0, failures=0),
            last_word_age_ms=250,
            bytes_sent_per_second=0.0,
        )
    )


@pytest_asyncio.fixture
async def agents() -> AsyncIterator[Agents]:
    """Starts two agents with the same version in force."""
    agents = Agents()
    app = Application()
    app.add_routes([get('/status', agents.answer)])
    async with TestServer(app) as one:
        other = TestServer(app)
        for server in (one, other):
            if server is other:
                await server.start_server()
            address = f'127.0.0.1:{server.port}'
            agents.addresses.append(address)
            name = f'host-{len(agents.bodies)}'
            agents.bodies[address] = make_status(name, 4)
        yield agents
        await other.close()


async def run_status(*arguments: str) -> tuple[int, str, str]:
    """Runs the program to its end."""
    code = 'from cowslipmill.status.main import run; run()'
    process = await create_subprocess_exec(
        sys.executable, '-c', code, *arguments, stdout=PIPE, stderr=PIPE
    )
    output, errors = await process.communicate()
    return process.returncode or 0, output.decode(), errors.decode()


@pytest.mark.asyncio
async def test_hosts_that_agree_end_with_status_zero(agents: Agents) -> None:
    """The table names each host, its version and the age of its view."""
    flag = f'--agents={",".join(agents.addresses)}'
    status, output, errors = await run_status(flag)
    assert_that((status, errors), Equals((0, '')))
    lines = output.splitlines()
    assert_that(lines, HasLength(4))
    assert_that(lines[1].split()[:4], HasLength(4))
    assert_that(lines[1], Contains('host-0'))
    assert_that(lines[1], Contains('12.3'))
    assert_that(lines[3], Equals('version 4 (digest-of-4): 2 hosts'))


@pytest.mark.asyncio
async def test_hosts_that_differ_end_with_status_one(agents: Agents) -> None:
    """Each version is counted, also in JSON."""
    agents.bodies[agents.addresses[1]] = make_status('host-1', 5)
    flag = f'--agents={",".join(agents.addresses)}'
    status, output, _ = await run_status(flag, '--json')
    assert_that(status, Equals(1))
    found = json.loads(output)
    assert_that(found['agree'], Equals(False))
    versions = [host['status']['version'] for host in found['hosts']]
    assert_that(versions, Equals([4, 5]))


@pytest.mark.asyncio
@pytest.mark.parametrize('body', [b'', b'{}', b'[1', b' ' * 5_000_000])
async def test_an_answer_that_is_no_status_counts_as_none(
    agents: Agents, body: bytes
) -> None:
    """The address and the reason stand in a line of their own."""
    agents.bodies[agents.addresses[1]] = body
    flag = f'--agents={",".join(agents.addresses)}'
    status, output, errors = await run_status(flag)
    assert_that((status, errors), Equals((1, '')))
    assert_that(output, Contains(f'{agents.addresses[1]}: no answer: '))


@pytest.mark.asyncio
async def test_a_host_that_is_gone_ends_with_status_one() -> None:
    """Nobody listens: the program still ends by itself."""
    status, output, _ = await run_status('--agents=127.0.0.1:1')
    assert_that(status, Equals(1))
    assert_that(output, Contains('127.0.0.1:1: no answer: '))


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ('arguments', 'words'),
    [
        ([], '--agents: give addresses, or --settings a file'),
        (['--agents=nowhere'], "--agents: 'nowhere' is not IP:PORT"),
        (['--colour=red'], "Unknown command line flag 'colour'"),
        (['--settings=/nowhere.json'], 'No such file or directory'),
        (['--agents=127.0.0.1:1', 'x'], "unexpected argument 'x'"),
    ],
)
async def test_wrong_use_is_one_line_and_status_two(
    arguments: list[str], words: str
) -> None:
    """No traceback, and the fault is named."""
    status, _, errors = await run_status(*arguments)
    assert_that(status, Equals(2))
    assert_that(errors.splitlines(), HasLength(1))
    assert_that(errors, Contains(words))


def test_figures_are_read_from_metrics() -> None:
    """Requests are counted by route and outcome; other figures listed."""
    text = (
        'cowslipmill_requests_total{route="a",outcome="unknown"} 2.0\n'
        'cowslipmill_suspects_total{entry="x"} 1.0\n'
        'cowslipmill_other_total 9.0\n'
    )
    figures = parse_metrics('127.0.0.1:1', text)
    assert_that(figures.requests, Equals({('a', 'unknown'): 2}))
    assert_that(
        [sample.name for sample in figures.other_samples],
        Equals(['cowslipmill_suspects_total']),
    )
