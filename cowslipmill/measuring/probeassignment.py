"""Decides which servers this host may probe, and how often."""

from collections.abc import Collection
from collections.abc import Iterable

from cowslipmill.coordination.rendezvous import rank

HOST_MEMORY_S = 7200.0
SETTLE_S = 20.0
MIN_INTERVAL_S = 1.0


class ProbeAssignment:
    """Divides each server's probe budget among the recently known hosts.

    All known hosts are ranked for each server by rendezvous hash, and the
    first ones probe it, as many as the budget allows probes a second. Lost
    hosts keep their rank while they are remembered, so that both sides of a
    partition agree on who probes. A host that has just started probes only
    after every host that it knows of was present for a while: until then it
    may be on one side of a partition whose other side does not know of it.

    Attributes:
        own: Peer address of this host.
        last_seen_at: When each host was last present, in monotonic seconds.
        complete_since: Since when every known host is present, in monotonic
            seconds, or None.
        settled: Whether this host may probe.
        probed_at: When this host last probed each server.
        ranks: Rank of this host for each server, until the hosts change.
    """

    __slots__ = (
        'complete_since',
        'last_seen_at',
        'own',
        'probed_at',
        'ranks',
        'settled',
    )

    def __init__(self, own: str, expected: Iterable[str], now: float) -> None:
        """Starts with this host and the expected peers.

        Args:
            own: Peer address of this host.
            expected: Peer addresses from the settings and the host list.
            now: Monotonic seconds.
        """
        self.own = own
        self.last_seen_at = {address: now for address in (own, *expected)}
        self.complete_since: float | None = None
        self.settled = False
        self.probed_at: dict[str, float] = {}
        self.ranks: dict[str, int] = {}

    def update(
        self, present: Collection[str], departed: Iterable[str], now: float
    ) -> None:
        """Updates which hosts are present and which have left.

        Args:
            present: Addresses of the hosts that are present now.
            departed: Addresses of hosts that announced that they are leaving.
            now: Monotonic seconds.
        """
        previous = set(self.last_seen_at)
        for address in departed:
            self.last_seen_at.pop(address, None)
        self.last_seen_at.update(dict.fromkeys((*present, self.own), now))
        for address, seen_at in list(self.last_seen_at.items()):
            if now - seen_at > HOST_MEMORY_S:
                del self.last_seen_at[address]
        if previous != self.last_seen_at.keys():
            self.ranks.clear()
        if any(seen_at < now for seen_at in self.last_seen_at.values()):
            self.complete_since = None
            return
        if self.complete_since is None:
            self.complete_since = now
        if now - self.complete_since >= SETTLE_S:
            self.settled = True

    def interval_s(self, server: str, per_second: float) -> float | None:
        """Returns the seconds between probes of a server by this host.

        Args:
            server: Name of the server.
            per_second: Probe budget of the server over all hosts.

        Returns:
            The interval, or None if this host must not probe the server.
        """
        if not self.settled or per_second <= 0.0:
            return None
        if self.rank_of(server) >= max(1, int(per_second)):
            return None
        return max(MIN_INTERVAL_S, 1.0 / per_second)

    def rank_of(self, server: str) -> int:
        """Returns the rank of this host for a server, from 0."""
        own_rank = self.ranks.get(server)
        if own_rank is None:
            ranked_hosts = rank(f'measure {server}', sorted(self.last_seen_at))
            own_rank = self.ranks[server] = ranked_hosts.index(self.own)
        return own_rank

    def try_acquire(self, server: str, per_second: float, now: float) -> bool:
        """Returns whether to probe a server now, and records the probe if so.

        Args:
            server: Name of the server.
            per_second: Probe budget of the server over all hosts.
            now: Monotonic seconds.
        """
        interval_s = self.interval_s(server, per_second)
        if interval_s is None:
            return False
        last_probe_at = self.probed_at.get(server)
        if last_probe_at is not None and now - last_probe_at < interval_s:
            return False
        self.probed_at[server] = now
        return True
