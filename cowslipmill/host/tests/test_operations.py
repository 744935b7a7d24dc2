"""Tests that the operations page lists the metrics and log events of hosts."""

from pathlib import Path
import re

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

ROOT = Path(__file__).parents[3]
PACKAGES = (
    'fleet',
    'forwarding',
    'host',
    'http1',
    'leasing',
    'memory',
    'paths',
    'relays',
    'view',
)


@pytest.fixture
def source() -> str:
    """Returns the source code of the packages that a host uses."""
    return '\n'.join(
        path.read_text()
        for package in PACKAGES
        for path in sorted((ROOT / 'cowslipmill' / package).glob('*.py'))
    )


@pytest.fixture
def page() -> str:
    """Returns the operations page."""
    return (ROOT / 'docs/OPERATIONS.md').read_text()


def test_the_operations_page_names_each_metric(source: str, page: str) -> None:
    metrics = set(re.findall(r"'(cowslipmill_host_\w+)'", source))
    assert_that(
        {metric for metric in metrics if f'`{metric}`' not in page},
        Equals(set()),
    )


def test_the_operations_page_names_each_log_event(
    source: str, page: str
) -> None:
    events = set(re.findall(r"LOG\.\w+\(\s*'([^']+)'", source))
    assert_that(
        {event for event in events if f'`{event}`' not in page}, Equals(set())
    )
