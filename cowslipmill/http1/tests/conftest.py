"""A stand-in server with injectable faults for the connection tests."""

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from cowslipmill.http1.message import Request
from cowslipmill.http1.tests.pipeline import Pipeline
from cowslipmill.standin.backend import StandinBackend


def make_request(number: int = 1, body: bytes = b'') -> Request:
    """Returns a request that the stand-in server accepts."""
    headers = [
        (b'host', b'one.example'),
        (b'x-request-id', b'r%d' % number),
        (b'x-expect-instance', b'one'),
        (b'x-deadline-ms', b'900'),
    ]
    return Request(b'POST', b'/a/b?c=d', headers, body)


@pytest_asyncio.fixture
async def backend() -> AsyncIterator[StandinBackend]:
    """Starts a stand-in server."""
    backend = StandinBackend('one')
    await backend.start()
    yield backend
    backend.stop()


@pytest.fixture
async def pipeline() -> Pipeline:
    """Opens a connection."""
    return Pipeline()
