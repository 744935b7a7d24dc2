"""Shares of the event loop for those whose input takes most of its time.

A bound on memory doesn't hold a peer whose input is discarded as it arrives:
parsing takes processor time all the same. What the input of each peer takes
is counted, and from those that take much, less is read. Who takes little
isn't slowed down, whatever the others do.
"""

from logging import getLogger

from prometheus_client import Counter

LOG = getLogger(__name__)

# Processor time that a peer may take at once, in seconds, and for each second.
BURST_S = 0.010
FREE_RATE = 0.005
# Processor time for each second that all heavy peers of a direction take
# together.
HEAVY_RATE = 0.15
# Time for which a peer counts as heavy after its last pause has ended.
HEAVY_HOLD_S = 1.0
# Longest pause; a peer that is paused that long isn't charged for more.
MAX_PAUSE_S = 10.0
# Peers counted apart; further ones are counted together, under one name.
MAX_PEERS = 4_096
OTHERS = 'others'
# Shortest time between two searches for peers that can be forgotten.
FORGET_S = 1.0
# Log lines in each second, of one peer and of all.
LOG_INTERVAL_S = 1.0
MAX_LOG_LINES = 4
# Peers named by the metric in the life of a process.
MAX_NAMED_PEERS = 64
# Processor time that one connection may take at once, and for each second,
# before its peer is charged for it.
CONNECTION_BURST_S = 0.000_5
CONNECTION_RATE = 0.005

PAUSED = Counter(
    'cowslipmill_host_input_paused_seconds_total',
    'Time for which nothing was read from a connection of a peer whose input '
    'took too much processor time.',
    ('direction', 'peer'),
)


class PeerWork:
    """The processor time that the input of one peer has taken.

    Attributes:
        level_s: Seconds of it that the peer's rate hasn't made up for.
        counted_at: Monotonic seconds of that.
        heavy_until: Monotonic seconds until which the peer counts as heavy.
        logged_at: Monotonic seconds of its last log line.
        label: Its name in the metric; empty before its first pause.
    """

    __slots__ = ('counted_at', 'heavy_until', 'label', 'level_s', 'logged_at')

    def __init__(self, now: float) -> None:
        """Starts without work."""
        self.level_s = 0.0
        self.counted_at = now
        self.heavy_until = now
        self.logged_at = now - LOG_INTERVAL_S
        self.label = ''


class WorkShares:
    """What the input of all peers of one direction takes.

    Attributes:
        direction: Who the peers are, as written into logs and metrics.
        peers: The peers whose input took time lately, by name.
        heavy: Those that took too much.
        searched_at: Monotonic seconds when peers were forgotten last.
        named: Names that the metric has.
        log_second: The second for which log lines are counted.
        log_lines: Log lines in that second.
    """

    __slots__ = (
        'direction',
        'heavy',
        'log_lines',
        'log_second',
        'named',
        'peers',
        'searched_at',
    )

    def __init__(self, direction: str) -> None:
        """Starts without peers."""
        self.direction = direction
        self.peers: dict[str, PeerWork] = {}
        self.heavy: dict[str, PeerWork] = {}
        self.searched_at = 0.0
        self.named: set[str] = set()
        self.log_second = 0.0
        self.log_lines = 0

    def charge(self, key: str, cost_s: float, now: float) -> float:
        """Counts processor time and returns for how long to read nothing.

        The pause is for the connection whose input took the time.

        Args:
            key: Name of the peer.
            cost_s: Processor time that its input took, in seconds.
            now: Monotonic seconds.

        Returns:
            Seconds; 0.0 for a peer within its free share.
        """
        if now - self.searched_at > FORGET_S:
            self.forget(now)
        peer = self.peers.get(key)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                key = OTHERS
            peer = self.peers.setdefault(key, PeerWork(now))
        rate = self.rate_of(key)
        passed_s = max(0.0, now - peer.counted_at)
        peer.level_s = max(0.0, peer.level_s - passed_s * rate) + cost_s
        peer.counted_at = now
        if peer.level_s <= BURST_S:
            return 0.0
        self.heavy[key] = peer
        rate = self.rate_of(key)
        peer.level_s = min(peer.level_s, BURST_S + MAX_PAUSE_S * rate)
        pause_s = (peer.level_s - BURST_S) / rate
        peer.heavy_until = now + pause_s + HEAVY_HOLD_S
        self.report(key, peer, pause_s, now)
        return pause_s

    def rate_of(self, key: str) -> float:
        """Returns the processor time that a peer may take each second."""
        if key in self.heavy:
            return HEAVY_RATE / len(self.heavy)
        return FREE_RATE

    def forget(self, now: float) -> None:
        """Forgets what idle peers took.

        Args:
            now: Monotonic seconds.
        """
        self.searched_at = now
        for key, peer in list(self.heavy.items()):
            if now > peer.heavy_until:
                del self.heavy[key]
        for key, peer in list(self.peers.items()):
            idle_s = now - peer.counted_at
            if key not in self.heavy and idle_s * FREE_RATE > peer.level_s:
                del self.peers[key]

    def report(
        self, key: str, peer: PeerWork, pause_s: float, now: float
    ) -> None:
        """Counts a pause and logs it, unless there are many log lines.

        Args:
            key: Name of the peer.
            peer: What its input took.
            pause_s: Seconds of the pause.
            now: Monotonic seconds.
        """
        if not peer.label:
            if key not in self.named and len(self.named) >= MAX_NAMED_PEERS:
                peer.label = OTHERS
            else:
                self.named.add(key)
                peer.label = key
        PAUSED.labels(self.direction, peer.label).inc(pause_s)
        if now - peer.logged_at < LOG_INTERVAL_S:
            return
        if now - self.log_second >= LOG_INTERVAL_S:
            self.log_second = now
            self.log_lines = 0
        if self.log_lines >= MAX_LOG_LINES:
            return
        self.log_lines += 1
        peer.logged_at = now
        LOG.warning(
            'input slowed down',
            extra={
                'direction': self.direction,
                'peer': key,
                'pause_s': round(pause_s, 3),
                'heavy_peers': len(self.heavy),
            },
        )


class ConnectionWork:
    """The processor time that the input of one connection has taken.

    Connections of many may come from one address. One that takes little is
    never paused, and counts for nothing in what its peer has taken.

    Attributes:
        shares: The shares of its direction.
        key: Name of its peer.
        level_s: Seconds that the connection's rate hasn't made up for.
        counted_at: Monotonic seconds of that.
    """

    __slots__ = ('counted_at', 'key', 'level_s', 'shares')

    def __init__(self, shares: WorkShares, key: str) -> None:
        """Starts without work."""
        self.shares = shares
        self.key = key
        self.level_s = 0.0
        self.counted_at = 0.0

    def charge(self, cost_s: float, now: float) -> float:
        """Counts processor time and returns for how long to read nothing.

        Args:
            cost_s: Processor time that input took, in seconds.
            now: Monotonic seconds.

        Returns:
            Seconds; 0.0 for a connection that takes little.
        """
        made_up_s = (now - self.counted_at) * CONNECTION_RATE
        self.counted_at = now
        level_s = cost_s
        if made_up_s < self.level_s:
            level_s += self.level_s - made_up_s
        if level_s <= CONNECTION_BURST_S:
            self.level_s = level_s
            return 0.0
        self.level_s = CONNECTION_BURST_S
        return self.shares.charge(self.key, level_s - CONNECTION_BURST_S, now)

    def charge_all(self, now: float) -> None:
        """Charges the peer also for what was free, as input is rejected.

        Otherwise a caller would have that time anew with each connection.

        Args:
            now: Monotonic seconds.
        """
        self.shares.charge(self.key, self.level_s, now)
        self.level_s = 0.0
