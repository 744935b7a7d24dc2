"""Which servers this host may measure, and how often."""

from collections.abc import Collection
from collections.abc import Iterable

from cowslipmill.coordination.rendezvous import rank

MEMORY_S = 7200.0
SETTLE_S = 20.0
MIN_INTERVAL_S = 1.0


class ProbeAssignment:
    """Shares each server's budget by the largest membership lately known.

    For each server the first hosts by rendezvous hash over every host known
    measure, as many as the budget allows calls a second. Hosts that were
    lost keep their place while they are remembered, so that both sides of a
    partition agree on who measures. A host that has just started measures
    only once it has heard every host it knows of: until then it may be on
    one side of a partition whose other side does not know of it.

    Attributes:
        own: Peer address of this host.
        known_at: When each host was last known to be there.
        whole_since: Since when every known host was heard, or None.
        settled: Whether this host may take its place.
        measured_at: When this host last measured each server.
        places: Place of this host for each server, until hosts change.
    """

    __slots__ = (
        'known_at',
        'measured_at',
        'own',
        'places',
        'settled',
        'whole_since',
    )

    def __init__(self, own: str, expected: Iterable[str], now: float) -> None:
        """Starts with the addresses that the settings tell."""
        self.own = own
        self.known_at = {address: now for address in (own, *expected)}
        self.whole_since: float | None = None
        self.settled = False
        self.measured_at: dict[str, float] = {}
        self.places: dict[str, int] = {}

    def update(
        self, heard: Collection[str], left: Iterable[str], now: float
    ) -> None:
        """Takes in who is there and who said that it was leaving.

        Args:
            heard: Addresses of the hosts that are there now.
            left: Addresses of hosts that measure no more.
            now: Monotonic seconds.
        """
        before = set(self.known_at)
        for address in left:
            self.known_at.pop(address, None)
        self.known_at.update(dict.fromkeys((*heard, self.own), now))
        for address, known_at in list(self.known_at.items()):
            if now - known_at > MEMORY_S:
                del self.known_at[address]
        if before != self.known_at.keys():
            self.places.clear()
        if any(known_at < now for known_at in self.known_at.values()):
            self.whole_since = None
            return
        if self.whole_since is None:
            self.whole_since = now
        if now - self.whole_since >= SETTLE_S:
            self.settled = True

    def interval_s(self, server: str, per_second: float) -> float | None:
        """Returns how often this host may measure a server, or None.

        Args:
            server: Name of the server.
            per_second: Its budget over all hosts.
        """
        if not self.settled or per_second <= 0.0:
            return None
        if self.rank_of(server) >= max(1, int(per_second)):
            return None
        return max(MIN_INTERVAL_S, 1.0 / per_second)

    def rank_of(self, server: str) -> int:
        """Returns the place of this host among those for a server."""
        place = self.places.get(server)
        if place is None:
            ranked = rank(f'measure {server}', sorted(self.known_at))
            place = self.places[server] = ranked.index(self.own)
        return place

    def try_acquire(self, server: str, per_second: float, now: float) -> bool:
        """Tells whether to measure a server now, and counts it if so."""
        interval_s = self.interval_s(server, per_second)
        if interval_s is None:
            return False
        last = self.measured_at.get(server)
        if last is not None and now - last < interval_s:
            return False
        self.measured_at[server] = now
        return True
