"""Documents of two operators that exclude each other."""

from msgspec import Struct

from cowslipmill.configuration.stamp import Stamp


class Conflict(Struct, frozen=True, array_like=True, order=True):
    """A published document that lost against another one.

    Attributes:
        lost: Stamp of the document whose changes are not in force.
        won: Stamp of the document that superseded it unseen.
    """

    lost: Stamp
    won: Stamp


def find_conflict(
    first: Stamp, first_base: int, second: Stamp, second_base: int
) -> Conflict | None:
    """Tells whether two documents were made without sight of each other.

    They were if they share a version, or if the later one's base is older
    than the earlier one.
    """
    lost, won = min(first, second), max(first, second)
    won_base = second_base if won == second else first_base
    if lost == won or lost.version == 0:
        return None
    if lost.version == won.version or won_base < lost.version:
        return Conflict(lost, won)
    return None
