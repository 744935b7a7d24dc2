"""The operators' page names what a host writes and counts."""

from pathlib import Path
import re

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

ROOT = Path(__file__).parents[3]
PACKAGES = ('fleet', 'forwarding', 'host', 'http1', 'leasing', 'view')


@pytest.fixture
def source() -> str:
    """Returns the source of a host's packages."""
    return '\n'.join(
        path.read_text()
        for package in PACKAGES
        for path in sorted((ROOT / 'cowslipmill' / package).glob('*.py'))
    )


@pytest.fixture
def page() -> str:
    """Returns the operators' page."""
    return (ROOT / 'docs/OPERATIONS.md').read_text()


def test_each_metric_is_on_the_page(source: str, page: str) -> None:
    metrics = set(re.findall(r"'(cowslipmill_host_\w+)'", source))
    assert_that(
        {metric for metric in metrics if f'`{metric}`' not in page},
        Equals(set()),
    )


def test_each_line_is_on_the_page(source: str, page: str) -> None:
    lines = set(re.findall(r"LOG\.\w+\(\s*'([^']+)'", source))
    assert_that(
        {line for line in lines if f'`{line}`' not in page}, Equals(set())
    )
