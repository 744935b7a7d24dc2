"""Loads the settings file of a process."""

from pathlib import Path
from typing import TypeVar

from msgspec import Struct

from cowslipmill.document.decoder import decode
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem

T = TypeVar('T', bound=Struct)

MAX_SETTINGS_BYTES = 65_536


class InvalidSettings(Exception):
    """Raised for a settings file that cannot be read or is invalid.

    Attributes:
        problems: Every problem that was found.
    """

    def __init__(self, name: str, problems: tuple[Problem, ...]) -> None:
        """Joins the name of the file and the problems into one message."""
        lines = '; '.join(str(problem) for problem in problems)
        super().__init__(f'{name}: {lines}')
        self.problems = problems


def load_settings(path: Path, settings_type: type[T]) -> T:
    """Loads and validates a settings file.

    Args:
        path: The JSON file.
        settings_type: The settings struct of the program.

    Returns:
        The settings.

    Raises:
        InvalidSettings: If the file cannot be read, is larger than
            `MAX_SETTINGS_BYTES` or is invalid.
    """
    try:
        with path.open('rb') as stream:
            raw = stream.read(MAX_SETTINGS_BYTES + 1)
    except OSError as error:
        problem = Problem('--settings', error.strerror or str(error))
        raise InvalidSettings(str(path), (problem,)) from error
    if len(raw) > MAX_SETTINGS_BYTES:
        problem = Problem('$', f'larger than {MAX_SETTINGS_BYTES} bytes')
        raise InvalidSettings(str(path), (problem,))
    try:
        return decode(raw, settings_type)
    except InvalidDocument as error:
        raise InvalidSettings(str(path), error.problems) from error
