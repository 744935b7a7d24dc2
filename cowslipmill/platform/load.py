"""The load that a server reports along with its answers."""

from cowslipmill.leasing.load import Load

FIELDS_WITH_SLOWDOWN = 4
NOMINAL_PERCENT = 100


def read_load(text: bytes) -> Load | None:
    """Returns the reported load, or None if there is none.

    The header holds running requests, waiting requests, slots and, from
    some servers, the time that work takes now in percent of the usual.
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
