"""What the host's program needs on a machine that has nothing but Python."""

from importlib.metadata import packages_distributions
from pathlib import Path
import re
import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

ROOT = Path(__file__).parents[3]
SHOW_MODULES = (
    'import sys; import cowslipmill.host.main; '
    'print("\\n".join({name.partition(".")[0] for name in sys.modules}))'
)


def canonical(name: str) -> str:
    """Returns a distribution's name as package indexes compare it."""
    return re.sub(r'[-_.]+', '-', name).lower()


def listed(path: str) -> dict[str, str]:
    """Returns the versions that a list of requirements pins."""
    lines = (ROOT / path).read_text().split()
    pairs = (line.partition('==') for line in lines)
    return {canonical(name): version for name, _, version in pairs}


@pytest.fixture
def imported() -> set[str]:
    """Returns the distributions that the host's program imports."""
    shown = subprocess.run(
        [sys.executable, '-c', SHOW_MODULES],
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    owners = packages_distributions()
    names = {
        canonical(owner)
        for module in shown.split()
        for owner in owners.get(module, ())
    }
    # The interpreter imports these by itself where they are installed.
    return names - {'cowslipmill', 'setuptools', 'certifi'}


def test_the_build_installs_all_that_the_host_imports(
    imported: set[str],
) -> None:
    missing = imported - listed('deploy/requirements.txt').keys()
    assert_that(missing, Equals(set()))


def test_the_build_installs_the_versions_that_are_tested() -> None:
    tested = listed('requirements.txt')
    deployed = listed('deploy/requirements.txt')
    differing = {
        name: version
        for name, version in deployed.items()
        if tested.get(name, version) != version
    }
    assert_that(differing, Equals({}))
