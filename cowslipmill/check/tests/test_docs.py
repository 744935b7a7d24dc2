"""Tests that the documentation refers only to what exists.

Covers programs, flags, settings, metrics, log events, links and example files.
"""

from pathlib import Path
import re

from msgspec import json
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.agent.status import AgentStatus
from cowslipmill.check.kinds import FILE_KINDS
from cowslipmill.check.schemas import make_schema

ROOT = Path(__file__).resolve().parents[3]
PAGES = sorted(
    [
        *(ROOT / 'docs').rglob('*.md'),
        *(ROOT / 'examples').rglob('*.md'),
        ROOT / 'README.md',
    ]
)
OPERATORS = {'install.md', 'faults.md', 'settings.md', 'document.md'}
SOURCE = '\n'.join(
    path.read_text()
    for path in (ROOT / 'cowslipmill').rglob('*.py')
    if 'tests' not in path.parts
)
FLAGS = set(re.findall(r"DEFINE_\w+\(\s*'(\w+)'", SOURCE)) | {'help'}
SCRIPTS = set(
    re.findall(
        r'^(cowslipmill-\w+) =', (ROOT / 'pyproject.toml').read_text(), re.M
    )
)
METRICS = set(re.findall(r"'(cowslipmill_\w+)'", SOURCE))
METRIC_SUFFIXES = re.compile(r'_(bucket|count|sum)$')
EVENTS = set(re.findall(r"LOG\.\w+\(\s*'([^']+)'", SOURCE))


def find_fields() -> set[str]:
    """Returns the fields of all kinds of files and of the agent status."""
    schemas = [make_schema(kind) for kind in FILE_KINDS.values()]
    schemas.append(json.schema(AgentStatus))
    return {
        name
        for schema in schemas
        for definition in schema['$defs'].values()
        for name in definition.get('properties', {})
    }


def find_undefined_names(pattern: str, known: set[str], text: str) -> set[str]:
    """Returns the names in the text that are not among the known ones."""
    return set(re.findall(pattern, text)) - known


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_names_in_a_page_exist(page: Path) -> None:
    """Each program, flag, metric and log event of a page is defined."""
    text = page.read_text()
    scripts = find_undefined_names(
        r'(?<![/\w])cowslipmill-[a-z]+', SCRIPTS, text
    )
    assert_that(scripts, Equals(set()))
    commands = '\n'.join(re.findall(r'cowslipmill-[a-z]+ .*', text))
    flags = find_undefined_names(r'--([a-z_]+)', FLAGS, commands)
    assert_that(flags, Equals(set()))
    metrics = {
        METRIC_SUFFIXES.sub('', name)
        for name in find_undefined_names(r'\bcowslipmill_\w+', METRICS, text)
    }
    assert_that(metrics - METRICS, Equals(set()))
    events = find_undefined_names(r'log event `([^`]+)`', EVENTS, text)
    assert_that(events, Equals(set()))


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_relative_links_of_a_page_resolve(page: Path) -> None:
    """Each relative link points to an existing file."""
    links = re.findall(r'\]\(([^)#:]+)(?:#[^)]*)?\)', page.read_text())
    broken = [link for link in links if not (page.parent / link).exists()]
    assert_that(broken, Equals([]))


@pytest.mark.parametrize('name', sorted(OPERATORS))
def test_settings_in_the_operators_pages_exist(name: str) -> None:
    """Each name with an underscore is a field of some file or a metric."""
    text = (ROOT / 'docs' / 'operators' / name).read_text()
    names = find_undefined_names(r'`([a-z]+(?:_[a-z]+)+)`', METRICS, text)
    assert_that(names - find_fields(), Equals(set()))


def test_paths_in_commands_exist() -> None:
    """Each example file that a page mentions exists."""
    for page in PAGES:
        for path in re.findall(r'\bexamples/[\w/]+\.json', page.read_text()):
            assert_that((ROOT / path).exists(), Equals(True), path)
