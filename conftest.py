"""Shared fixtures and the Hypothesis profile of the whole suite."""

from collections.abc import Iterator
from gc import collect

from hypothesis import HealthCheck
from hypothesis import settings
import pytest

settings.register_profile(
    'cowslipmill',
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('cowslipmill')


@pytest.fixture(autouse=True)
def collect_garbage() -> Iterator[None]:
    """Runs the finalizers of a test's objects before the next test.

    One that raises while a later test parses source code has its traceback
    parsed within, which fails in Python 3.11 (SystemError, recursion depth
    mismatch).
    """
    yield
    collect()
