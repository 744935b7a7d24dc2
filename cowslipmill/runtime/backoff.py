"""Delays that double with each failure in a row."""

# Doublings beyond these exceed every maximum. Without a bound, the power of
# two can't be converted to a float after 1,024 failures.
MAX_DOUBLINGS = 64


def doubled(first_s: float, doublings: int, max_s: float) -> float:
    """Returns a delay after it has been doubled some times.

    Args:
        first_s: The delay without any doubling, in seconds.
        doublings: Number of doublings; not negative.
        max_s: The longest delay, in seconds.
    """
    factor: int = 2 ** min(doublings, MAX_DOUBLINGS)
    return min(max_s, first_s * factor)
