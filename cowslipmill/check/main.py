"""The program `cowslipmill-check`."""

from pathlib import Path

from absl import flags
from msgspec import Struct

from cowslipmill.document.checker import decode_document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import UsageError
from cowslipmill.settings.loader import InvalidSettings
from cowslipmill.settings.loader import load_settings
from cowslipmill.settings.settings import AgentSettings
from cowslipmill.settings.settings import EntrySettings

SETTINGS_KINDS: dict[str, type[Struct]] = {
    'agent': AgentSettings,
    'entry': EntrySettings,
}


def find_problems(kind: str, path: Path) -> tuple[Problem, ...]:
    """Returns every fault of a file.

    Args:
        kind: `document` or a program with settings.
        path: The JSON file.
    """
    try:
        if kind == 'document':
            decode_document(path.read_bytes())
        else:
            load_settings(path, SETTINGS_KINDS[kind])
    except OSError as error:
        return (Problem(str(path), error.strerror or str(error)),)
    except (InvalidDocument, InvalidSettings) as error:
        return error.problems
    return ()


def main(arguments: list[str]) -> int:
    """Checks a document or a settings file and prints every fault."""
    if len(arguments) != 2:
        raise UsageError('give exactly one file to check')
    path = Path(arguments[1])
    problems = find_problems(flags.FLAGS.kind, path)
    for problem in problems:
        print(f'{path}: {problem}')
    if not problems:
        print(f'{path}: valid {flags.FLAGS.kind}')
    return 1 if problems else 0


def run() -> None:
    """Starts the program from the command line."""
    flags.DEFINE_enum(
        'kind',
        'document',
        ['document', *SETTINGS_KINDS],
        'What the file is to be checked as.',
    )
    run_program(main)
