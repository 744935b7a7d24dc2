"""Revisions of a store that may come back from an older copy.

Such a store gives numbers out again and counts its eras. A revision holds
both, so that what an era says is newer than all that an earlier one said.
"""

# Numbers below this have room beside the era.
NUMBER_BITS = 44
NUMBER_MASK = (1 << NUMBER_BITS) - 1


def make_revision(era: int, number: int) -> int:
    """Returns the revision with which an era gave out a number.

    Args:
        era: How often the store came back from an older copy.
        number: The store's own number; 0 or more.

    Raises:
        ValueError: If the number has no room.
    """
    if not 0 <= number <= NUMBER_MASK:
        raise ValueError(f'not a revision: {number}')
    return (era << NUMBER_BITS) | number


def era_of(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Returns the store's own number of a revision."""
    return revision & NUMBER_MASK
