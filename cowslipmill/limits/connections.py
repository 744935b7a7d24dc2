"""Bounds on the connections that one entry opens."""


def connection_share(connections: int, members: int) -> int:
    """Returns how many connections one entry may open to one server.

    Args:
        connections: Most connections to the server over all entries.
        members: The largest membership recently known.
    """
    return max(1, connections // max(1, members))
