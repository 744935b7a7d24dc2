"""The program `cowslipmill-check`."""

from pathlib import Path

from absl import flags

from cowslipmill.check.kinds import DOCUMENT_KIND
from cowslipmill.check.kinds import FILE_KINDS
from cowslipmill.check.kinds import PLATFORM_KINDS
from cowslipmill.check.kinds import SETTINGS_KINDS
from cowslipmill.document.checker import decode_document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem
from cowslipmill.platform.errors import InvalidField
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import UsageError
from cowslipmill.settings.loader import InvalidSettings
from cowslipmill.settings.loader import load_settings


def check_file(kind: str, path: Path) -> tuple[Problem, ...]:
    """Returns every problem of a file.

    Args:
        kind: A value of `--kind`: `document`, the name of a program for its
            settings file, or one of the platform's formats.
        path: The file.
    """
    decode_platform = PLATFORM_KINDS.get(kind)
    try:
        if decode_platform is not None:
            decode_platform(path.read_bytes())
        elif kind == DOCUMENT_KIND:
            decode_document(path.read_bytes())
        else:
            load_settings(path, SETTINGS_KINDS[kind])
    except (InvalidDocument, InvalidSettings) as error:
        return error.problems
    except InvalidField as error:
        return (Problem(error.field, error.reason),)
    return ()


def require_readable(path: Path) -> None:
    """Checks that the file can be read, by reading its first byte.

    Raises:
        UsageError: If the file cannot be read.
    """
    try:
        with path.open('rb') as stream:
            stream.read(1)
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}') from error


def main(arguments: list[str]) -> int:
    """Checks a document or a settings file and prints every fault."""
    if len(arguments) != 2:
        raise UsageError('give exactly one file to check')
    path = Path(arguments[1])
    require_readable(path)
    problems = check_file(flags.FLAGS.kind, path)
    for problem in problems:
        print(f'{path}: {problem}')
    if not problems:
        print(f'{path}: valid {flags.FLAGS.kind}')
    return 1 if problems else 0


def run() -> None:
    """Defines the flags and runs the program."""
    flags.DEFINE_enum(
        'kind',
        DOCUMENT_KIND,
        [*FILE_KINDS, *PLATFORM_KINDS],
        'What the file is to be checked as.',
    )
    run_program(main, arguments='FILE')
