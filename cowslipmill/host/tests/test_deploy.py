"""Tests of the requirements that the deployed host program is built with."""

from importlib.metadata import packages_distributions
from pathlib import Path
import re
import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

ROOT = Path(__file__).parents[3]
LIST_MODULES_CODE = (
    'import sys; import cowslipmill.host.program; '
    'print("\\n".join({name.partition(".")[0] for name in sys.modules}))'
)


def normalize_name(name: str) -> str:
    """Returns a distribution's name in normalized form, as PEP 503 defines."""
    return re.sub(r'[-_.]+', '-', name).lower()


def read_pinned_versions(path: str) -> dict[str, str]:
    """Returns the pinned versions of a requirements file by distribution."""
    lines = (ROOT / path).read_text().split()
    pairs = (line.partition('==') for line in lines)
    return {normalize_name(name): version for name, _, version in pairs}


@pytest.fixture
def imported_distributions() -> set[str]:
    """Returns the distributions that the host program imports."""
    output = subprocess.run(
        [sys.executable, '-c', LIST_MODULES_CODE],
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    owners = packages_distributions()
    names = {
        normalize_name(owner)
        for module in output.split()
        for owner in owners.get(module, ())
    }
    # The interpreter itself imports the latter two if they are installed.
    return names - {'cowslipmill', 'setuptools', 'certifi'}


def test_deploy_requirements_cover_the_imports_of_the_host(
    imported_distributions: set[str],
) -> None:
    missing = (
        imported_distributions
        - read_pinned_versions('deploy/requirements.txt').keys()
    )
    assert_that(missing, Equals(set()))


def test_deploy_requirements_pin_the_tested_versions() -> None:
    tested = read_pinned_versions('requirements.txt')
    deployed = read_pinned_versions('deploy/requirements.txt')
    differing = {
        name: version
        for name, version in deployed.items()
        if tested.get(name, version) != version
    }
    assert_that(differing, Equals({}))
