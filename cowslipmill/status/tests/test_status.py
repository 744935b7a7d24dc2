"""Tests of `cowslipmill-status` as a process, and of parsing metrics."""

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
    """Two stand-in agents that serve a status.

    Attributes:
        bodies: Response body of each, by address.
        addresses: Addresses of the agents.
    """

    __slots__ = ('addresses', 'bodies')

    def __init__(self) -> None:
        """Starts without agents."""
        self.bodies: dict[str, bytes] = {}
        self.addresses: list[str] = []

    async def serve_status(self, request: Request) -> Response:
        """Responds as the agent that the request addresses."""
        return Response(body=self.bodies[request.host])


def make_status(host: str, version: int) -> bytes:
    """Returns the encoded status of a host."""
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
    app.add_routes([get('/status', agents.serve_status)])
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
    """Runs the program and returns its exit status, output and errors."""
    code = 'from cowslipmill.status.main import run; run()'
    process = await create_subprocess_exec(
        sys.executable, '-c', code, *arguments, stdout=PIPE, stderr=PIPE
    )
    output, errors = await process.communicate()
    return process.returncode or 0, output.decode(), errors.decode()


@pytest.mark.asyncio
async def test_exit_status_is_zero_if_hosts_agree(agents: Agents) -> None:
    """The table shows hosts and time in force, the summary the version."""
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
async def test_exit_status_is_one_if_hosts_differ(agents: Agents) -> None:
    """The JSON object holds the version of each host."""
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
async def test_invalid_status_counts_as_no_answer(
    agents: Agents, body: bytes
) -> None:
    """The address and the reason are printed on a line of their own."""
    agents.bodies[agents.addresses[1]] = body
    flag = f'--agents={",".join(agents.addresses)}'
    status, output, errors = await run_status(flag)
    assert_that((status, errors), Equals((1, '')))
    assert_that(output, Contains(f'{agents.addresses[1]}: no answer: '))


@pytest.mark.asyncio
async def test_exit_status_is_one_if_a_host_is_unreachable() -> None:
    """The program ends although nothing listens at the address."""
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
async def test_usage_error_is_one_line_with_exit_status_two(
    arguments: list[str], words: str
) -> None:
    """The line names the fault; there is no traceback."""
    status, _, errors = await run_status(*arguments)
    assert_that(status, Equals(2))
    assert_that(errors.splitlines(), HasLength(1))
    assert_that(errors, Contains(words))


def test_requests_and_other_samples_are_parsed_from_metrics() -> None:
    """Requests are counted by route and outcome.

    Of other samples only those about budgets or suspects are listed.
    """
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
