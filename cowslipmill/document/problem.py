"""Problems found in a document or a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault in a JSON value.

    Attributes:
        path: JSON path of the field, such as `$.routes[2].service`.
        reason: What is wrong with it, in one sentence.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """Returns the problem as one line for a person."""
        return f'{self.path}: {self.reason}'


class InvalidDocument(Exception):
    """A document that must not come into force.

    Attributes:
        problems: Every fault that was found.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Keeps the faults and makes one line of them."""
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems
