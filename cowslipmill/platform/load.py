"""Parses the load that a server reports in its responses."""

from cowslipmill.leasing.load import Load

FIELDS_WITH_SLOWDOWN = 4
NOMINAL_PERCENT = 100


def read_load(text: bytes) -> Load | None:
    """Returns the reported load, or None if the header is invalid or absent.

    Args:
        text: Value of the header: the numbers of running requests, queued
            requests and slots, separated by commas. Some servers add the
            current execution time in percent of the usual one.
    """
    parts = text.split(b',')
    try:
        running, waiting, slots = (int(part) for part in parts[:3])
        percent = NOMINAL_PERCENT
        if len(parts) >= FIELDS_WITH_SLOWDOWN:
            percent = int(parts[3])
    except ValueError:
        return None
    slowdown = max(1, percent) / NOMINAL_PERCENT
    return Load(running, waiting, slots, slowdown)
