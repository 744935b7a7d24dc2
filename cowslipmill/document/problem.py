"""Problems found in a document or a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a JSON value.

    Attributes:
        path: JSON path of the field, such as `$.routes[2].service`.
        reason: What is wrong with the field.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """Returns the path and the reason in one line."""
        return f'{self.path}: {self.reason}'


class InvalidDocument(Exception):
    """Raised for a document that is invalid and is not applied.

    Attributes:
        problems: Every problem that was found.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Stores the problems and joins them into one message."""
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems
