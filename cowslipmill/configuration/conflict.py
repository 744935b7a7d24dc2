"""Conflicts between documents that operators published concurrently."""

from msgspec import Struct

from cowslipmill.configuration.stamp import Stamp


class Conflict(Struct, frozen=True, array_like=True, order=True):
    """A published document that a concurrent one replaced.

    Attributes:
        lost: Stamp of the document whose changes are not in force.
        won: Stamp of the document that replaced it without including its
            changes.
    """

    lost: Stamp
    won: Stamp


def find_conflict(
    first: Stamp, first_base: int, second: Stamp, second_base: int
) -> Conflict | None:
    """Returns the conflict between two documents, or None.

    They conflict if they have the same version, or if the later one's base
    version is lower than the earlier one's version: its author had not seen
    the earlier document.

    Args:
        first: Stamp of one document.
        first_base: Version on which it was based.
        second: Stamp of the other document.
        second_base: Version on which that was based.
    """
    lost, won = min(first, second), max(first, second)
    won_base = second_base if won == second else first_base
    if lost == won or lost.version == 0:
        return None
    if lost.version == won.version or won_base < lost.version:
        return Conflict(lost, won)
    return None
