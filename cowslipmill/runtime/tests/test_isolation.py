"""Tests that what one test leaves behind doesn't reach the next one."""

from pathlib import Path
from shutil import copy
from subprocess import run
import sys

from testtools.assertions import assert_that
from testtools.matchers import Contains

CONFTEST = Path(__file__).parents[3] / 'conftest.py'
TESTS = """
from gc import disable

finalized = []


class Left:
    def __init__(self):
        self.cycle = self

    def __del__(self):
        finalized.append(self)


def test_leaves_a_cycle():
    disable()
    Left()


def test_finds_it_finalized():
    assert finalized
"""


def test_a_finalizer_does_not_run_in_a_later_test(tmp_path: Path) -> None:
    """One that ran while a test was parsed failed that test."""
    copy(CONFTEST, tmp_path)
    tests = tmp_path / 'test_two.py'
    tests.write_text(TESTS)
    command = [sys.executable, '-m', 'pytest', '-p', 'no:xdist', str(tests)]
    result = run(
        command, cwd=tmp_path, check=False, capture_output=True, text=True
    )
    assert_that(result.stdout, Contains('2 passed'))
