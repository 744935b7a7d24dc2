"""Tests of the file descriptors that running programs hold open."""

from collections.abc import AsyncIterator
from os import readlink
from pathlib import Path

from aiohttp import ClientSession
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals

from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Starts a deployment of one host that has served a request."""
    layout = Layout.example('caroni', Network.for_this_process(), host_count=1)
    with Launcher() as launcher:
        async with ClientSession() as session:
            running = Deployment(layout, launcher, session)
            await running.start()
            url = f'http://{layout.entry(0).listen}/technicians/7/standing'
            async with session.get(url) as response:
                await response.read()
                assert_that(response.status, Equals(200))
            yield running


def descriptor_targets(pid: int) -> list[str]:
    """Returns the targets of a process's file descriptors."""
    targets = []
    for path in Path(f'/proc/{pid}/fd').iterdir():
        try:
            targets.append(readlink(path))
        except FileNotFoundError:
            continue
    return targets


async def test_no_process_opens_an_io_uring(deployment: Deployment) -> None:
    """The event loop uses epoll in every process of the deployment."""
    for process in deployment.launcher.processes.values():
        opened = ' '.join(descriptor_targets(process.pid))
        assert_that(opened, Contains('anon_inode:[eventpoll]'))
        assert_that('io_uring' in opened, Equals(False))
        maps = Path(f'/proc/{process.pid}/maps').read_text()
        assert_that('io_uring' in maps, Equals(False))
