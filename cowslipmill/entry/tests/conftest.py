"""Runs the tests of this slice on the event loop of the programs."""

from asyncio import AbstractEventLoop
from collections.abc import Callable
from collections.abc import Mapping

from uvloop import new_event_loop


def pytest_asyncio_loop_factories() -> Mapping[
    str, Callable[[], AbstractEventLoop]
]:
    """Returns the factory of the programs' event loop."""
    return {'uvloop': new_event_loop}
