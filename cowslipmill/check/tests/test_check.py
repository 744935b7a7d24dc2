"""Tests of the offline check, run as a program of its own."""

from dataclasses import dataclass
import json
from pathlib import Path
from subprocess import run
import sys
from typing import Any

from jsonschema import Draft202012Validator
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import Not

from cowslipmill.check.kinds import FILE_KINDS
from cowslipmill.check.kinds import SETTINGS_KINDS
from cowslipmill.check.schemas import find_stale_files
from cowslipmill.check.schemas import make_schema
from cowslipmill.launch.layout import EXAMPLES

DOCS = EXAMPLES.parent / 'docs'
DEPLOYMENTS = ('caroni', 'mtatsminda')


@dataclass(frozen=True, slots=True)
class ProgramResult:
    """Exit status and output of a program that has ended."""

    status: int
    output: list[str]
    errors: list[str]


def run_program(program: str, *arguments: str) -> ProgramResult:
    """Runs a program until it ends; fails if it prints a traceback."""
    code = f'from cowslipmill.{program}.main import run; run()'
    completed = run(
        [sys.executable, '-c', code, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert_that(completed.stderr, Not(Contains('Traceback')))
    return ProgramResult(
        completed.returncode,
        completed.stdout.splitlines(),
        completed.stderr.splitlines(),
    )


def read_example(kind: str, deployment: str = 'caroni') -> Any:
    """Returns the decoded JSON of an example file."""
    return json.loads((EXAMPLES / deployment / f'{kind}.json').read_bytes())


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
@pytest.mark.parametrize('kind', FILE_KINDS)
def test_examples_are_valid(kind: str, deployment: str) -> None:
    """Each example passes the check and the published schema."""
    path = EXAMPLES / deployment / f'{kind}.json'
    result = run_program('check', f'--kind={kind}', str(path))
    assert_that(
        result, Equals(ProgramResult(0, [f'{path}: valid {kind}'], []))
    )
    content = read_example(kind, deployment)
    schema = json.loads(json.dumps(make_schema(FILE_KINDS[kind])))
    Draft202012Validator(schema).validate(content)


def test_generated_files_are_up_to_date() -> None:
    """The committed schemas and pages match what the tool generates."""
    assert_that(find_stale_files(DOCS), Equals([]))


@pytest.mark.parametrize('kind', SETTINGS_KINDS)
def test_every_fault_of_a_settings_file_is_named(
    kind: str, tmp_path: Path
) -> None:
    """A wrong type, an unknown key and a missing one are all reported."""
    content = read_example(kind)
    content['colour'] = 'red'
    content['deployment'] = 7
    del content['name' if kind != 'agent' else 'host']
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(content))
    result = run_program('check', f'--kind={kind}', str(path))
    missing = 'name' if kind != 'agent' else 'host'
    assert_that(result.status, Equals(1))
    assert_that(
        sorted(result.output),
        Equals(
            [
                f'{path}: $.colour: unknown field',
                f'{path}: $.deployment: Expected `str`, got `int`',
                f'{path}: $.{missing}: required field is missing',
            ]
        ),
    )


def test_every_fault_of_a_document_is_named(tmp_path: Path) -> None:
    """Problems that depend on several fields are all reported."""
    content = read_example('document')
    content['base'] = 5
    content['routes'][0]['service'] = 'nowhere'
    content['services'][1]['team'] = 'nobody'
    path = tmp_path / 'document.json'
    path.write_text(json.dumps(content))
    result = run_program('check', str(path))
    assert_that(result.status, Equals(1))
    assert_that(
        result.output,
        Equals(
            [
                f'{path}: $.base: must be lower than version 1',
                f"{path}: $.services[1].team: no team is named 'nobody'",
                f"{path}: $.routes[0].service: no service is named 'nowhere'",
            ]
        ),
    )


@pytest.mark.parametrize('text', ['', '{', 'null', '[1]', '\x00', '9' * 5000])
def test_input_that_is_not_a_document_gives_one_error_line(
    text: str, tmp_path: Path
) -> None:
    """Any such input gives one line of output and exit status 1."""
    path = tmp_path / 'document.json'
    path.write_text(text)
    result = run_program('check', str(path))
    assert_that(result.status, Equals(1))
    assert_that(result.output, HasLength(1))
    assert_that(result.output[0], Contains(f'{path}: $: '))


@pytest.mark.parametrize(
    ('arguments', 'words'),
    [
        ([], 'give exactly one file to check'),
        (['a', 'b'], 'give exactly one file to check'),
        (['--colour=red', 'a'], "Unknown command line flag 'colour'"),
        (['--kind=tree', 'a'], 'flag --kind=tree'),
        (['/nowhere/at/all.json'], 'No such file or directory'),
        (['/'], 'Is a directory'),
    ],
)
def test_usage_error_gives_one_line_and_status_two(
    arguments: list[str], words: str
) -> None:
    """A usage error has another exit status than an invalid file."""
    result = run_program('check', *arguments)
    assert_that(result.status, Equals(2))
    assert_that(result.errors, HasLength(1))
    assert_that(result.errors[0], Contains(words))


@pytest.mark.parametrize('program', SETTINGS_KINDS)
def test_invalid_settings_give_one_line_and_status_two(
    program: str, tmp_path: Path
) -> None:
    """Each program prints the field and the reason and does not start."""
    wrong = read_example(program)
    wrong['deployment'] = 7
    wrong['colour'] = 'red'
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(wrong))
    cases = {
        '--colour=red': "Unknown command line flag 'colour'",
        '--settings=/nowhere.json': 'No such file or directory',
        f'--settings={path}': '$.colour: unknown field',
        '--settings=': 'Is a directory',
    }
    for argument, words in cases.items():
        result = run_program(program, argument)
        assert_that(result.status, Equals(2))
        assert_that(result.errors, HasLength(1))
        assert_that(result.errors[0], Contains(words))


PLATFORM_SETTINGS = """\
Node=front-1
Zone=domain-a
Listen.Front=10.1.0.18:8381
Listen.Ready=10.1.0.18:8388
Listen.Control=10.1.0.18:8382
Seeds=10.1.0.18:8382
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetSlack=64
Platform.Address=10.200.1.7:8384
"""


def check_text(tmp_path: Path, kind: str, text: str) -> ProgramResult:
    path = tmp_path / 'file'
    path.write_text(text)
    return run_program('check', f'--kind={kind}', str(path))


def test_the_platforms_settings_are_checked(tmp_path: Path) -> None:
    result = check_text(tmp_path, 'platform-settings', PLATFORM_SETTINGS)
    assert_that((result.status, result.errors), Equals((0, [])))


def test_a_fault_in_the_platforms_settings_is_named(tmp_path: Path) -> None:
    text = PLATFORM_SETTINGS.replace('GraceS=6', 'GraceS=six')
    result = check_text(tmp_path, 'platform-settings', text)
    assert_that(result.status, Equals(1))
    assert_that(result.output[0], Contains('Bounds.GraceS: '))


def test_a_fault_in_the_platforms_configuration_is_named(
    tmp_path: Path,
) -> None:
    text = '{"Version": "7", "Routes": [], "Services": [{}], "Limits": {}}'
    result = check_text(tmp_path, 'platform-configuration', text)
    assert_that(result.status, Equals(1))
    assert_that(result.output[0], Contains('Name: '))
