"""Tests that the documentation refers only to what exists.

Covers programs, flags, settings, metrics, log events, links, example files and
names of the code.
"""

import ast
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
CODE_PAGES = [*PAGES, ROOT / 'DEVELOPERS.md', ROOT / 'KNOWN-RED.txt']
OLD_NAMES = '## Old names'
CODE_SPAN = re.compile(r'```\n(.*?)```|`([^`\n]+)`', re.S)
PYTHON_FILE = re.compile(r'(?<![\w./])(?:\w+/)*\w+\.py\b')
FOLDER = re.compile(r'(?:\w+/)+\w*')
DOTTED_NAME = re.compile(
    r'(?<![\w./@-])[A-Za-z]\w*(?:\.[A-Za-z]\w*)+(?![\w/-])'
)
TYPE_NAME = re.compile(r'(?<![\w./-])[A-Z][a-z]\w*(?![\w-])')
CAMEL_CASE = re.compile(r'(?:[A-Z][a-z]+){2,}')
SNAKE_CASE = re.compile(r'_?[a-z][a-z0-9]*(?:_[a-z0-9]+)+')
TEST_NAME = re.compile(r'\btest_\w+\b(?!\.py)')
PLATFORM_NAMES = {
    name
    for path in (ROOT / 'cowslipmill' / 'platform').glob('*.py')
    for name in re.findall(r"'([A-Z]\w+)'", path.read_text())
}
LIBRARIES = set(re.findall(r'^(?:from|import) (\w+)', SOURCE, re.M)) - {
    'cowslipmill'
}
# Kinds of trouble that the users' bench plays; our source has no such name.
BENCH_KINDS = {'srv_slow'}
FILE_SUFFIXES = {'conf', 'html', 'json', 'log', 'md', 'py', 'toml', 'txt'}


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


def find_members(scope: ast.Module | ast.ClassDef) -> set[str]:
    """Returns the names that a module or a class and its methods define."""
    names = set()
    for statement in scope.body:
        match statement:
            case ast.FunctionDef() | ast.AsyncFunctionDef() | ast.ClassDef():
                names.add(statement.name)
            case ast.Assign() | ast.AnnAssign():
                names |= {
                    node.id
                    for node in ast.walk(statement)
                    if isinstance(node, ast.Name)
                    and isinstance(node.ctx, ast.Store)
                }
    if isinstance(scope, ast.ClassDef):
        names |= {
            node.attr
            for node in ast.walk(scope)
            if isinstance(node, ast.Attribute)
            and isinstance(node.ctx, ast.Store)
        }
    return names


class Code:
    """The modules, types and tests of the source by name.

    Attributes:
        names: Dotted names of packages, modules, and of what is defined at
            the top of a module or in a class there.
        types: Names of classes, with the names defined in any class so called.
        tests: Names of test modules and of the functions in them.
        words: Every identifier and every word of a text, tests left out.
    """

    __slots__ = ('names', 'types', 'tests', 'words')

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.types: dict[str, set[str]] = {}
        self.tests: set[str] = set()
        self.words: set[str] = set()

    def add_module(self, path: Path) -> None:
        """Adds a module and what it defines."""
        module = '.'.join(path.relative_to(ROOT).with_suffix('').parts)
        module = module.removesuffix('.__init__')
        self.names.add(module)
        text = path.read_text()
        tree = ast.parse(text)
        if 'tests' in path.parts:
            self.tests |= {path.stem, *find_members(tree)}
            return
        self.words |= set(re.findall(r'\w+', text))
        self.names |= {f'{module}.{name}' for name in find_members(tree)}
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                members = find_members(node)
                self.types.setdefault(node.name, set()).update(members)
                self.names |= {
                    f'{module}.{node.name}.{name}' for name in members
                }


@pytest.fixture(scope='module')
def code() -> Code:
    """Returns the names of the source."""
    code = Code()
    for path in (ROOT / 'cowslipmill').rglob('*.py'):
        code.add_module(path)
    return code


def read_page(page: Path) -> str:
    """Returns a page without the old names of the glossary.

    The first column of the table "Old names" holds names that are no more,
    so that a reader of an old commit finds the new ones, which are kept here.
    """
    text, heading, table = page.read_text().partition(OLD_NAMES)
    return text + heading + re.sub(r'^\|[^|]*\|', '|', table, flags=re.M)


def find_missing_files(page: Path, text: str, spans: list[str]) -> set[str]:
    """Returns the Python files and folders that are not in the tree.

    A file without a folder is beside the last one that had a folder.
    """
    roots = (ROOT, ROOT / 'cowslipmill', page.parent)
    missing = set()
    folder = ROOT
    for path in PYTHON_FILE.findall(text):
        places = roots if '/' in path else (folder,)
        found = [place / path for place in places if (place / path).is_file()]
        if not found:
            missing.add(path)
        elif '/' in path:
            folder = found[0].parent
    for span in spans:
        if FOLDER.fullmatch(span) and not any(
            (root / span).exists() for root in roots
        ):
            missing.add(span)
    return missing


def find_undefined_code_names(spans: list[str], code: Code) -> set[str]:
    """Returns the dotted names and types that the source does not define."""
    packages = {name.split('.')[1] for name in code.names if '.' in name}
    outer = PLATFORM_NAMES | find_fields()
    undefined = set()
    for span in spans:
        for name in DOTTED_NAME.findall(span):
            first, *_, last = name.split('.')
            if last in FILE_SUFFIXES:
                known = True
            elif first in packages:
                known = f'cowslipmill.{name}' in code.names
            elif first == 'cowslipmill':
                known = name in code.names
            elif first in code.types:
                known = last in code.types[first]
            else:
                known = first in outer | LIBRARIES
            if not known:
                undefined.add(name)
        for name in TYPE_NAME.findall(span):
            is_type = '\n' in span or span == name or CAMEL_CASE.match(name)
            if is_type and name not in code.types.keys() | outer:
                undefined.add(name)
        if (
            SNAKE_CASE.fullmatch(span)
            and span not in code.words | code.tests | BENCH_KINDS
        ):
            undefined.add(span)
    return undefined


def test_code_names_in_the_pages_exist(code: Code) -> None:
    """Each module, type and test that a page names is in the source."""
    undefined = {}
    for page in CODE_PAGES:
        text = read_page(page)
        spans = [one or two for one, two in CODE_SPAN.findall(text)]
        names = find_missing_files(page, text, spans)
        names |= find_undefined_code_names(spans, code)
        names |= set(TEST_NAME.findall(text)) - code.tests
        if names:
            undefined[page.name] = sorted(names)
    assert_that(undefined, Equals({}))
