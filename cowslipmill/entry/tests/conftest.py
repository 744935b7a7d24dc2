"""Runs the tests of this slice on the event loop of the programs."""

import pytest
from uvloop import EventLoopPolicy


@pytest.fixture(scope='session')
def event_loop_policy() -> EventLoopPolicy:
    """Returns the policy that makes the programs' event loop."""
    return EventLoopPolicy()
