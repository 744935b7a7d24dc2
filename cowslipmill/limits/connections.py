"""Share of a server's connections that one entry may open."""


def connection_share(connections: int, members: int) -> int:
    """Returns how many connections one entry may open to one server.

    Args:
        connections: Most connections to the server over all entries.
        members: Largest recent number of entries.
    """
    return max(1, connections // max(1, members))
