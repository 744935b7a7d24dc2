"""Event loop of the tests of many hosts."""

from asyncio import AbstractEventLoop
from collections.abc import Callable

import pytest

from cowslipmill.host.tests.virtualtime import VirtualTimeLoop


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> dict[str, Callable[[], AbstractEventLoop]]:
    """Returns the event loop of all tests of this package."""
    return {'virtual time': VirtualTimeLoop}
