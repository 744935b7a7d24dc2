"""The times for which servers want nothing from this host.

For the case that a server in trouble turns a request away and says when it
takes requests again. Load probes and checks count as requests.
"""

from collections.abc import Iterable
from logging import getLogger

from prometheus_client import Counter

from cowslipmill.view.server import ServerRecord

LOG = getLogger(__name__)

SERVER_PAUSES = Counter(
    'cowslipmill_host_server_pauses_total',
    'Responses by which servers asked this host to send nothing for a time.',
)


class Pause:
    """The pause of one server.

    Attributes:
        started_ms: Unix milliseconds of the server's start.
        ends_at: When it ends, in monotonic seconds.
    """

    __slots__ = ('ends_at', 'started_ms')

    def __init__(self, started_ms: int, ends_at: float) -> None:
        """Stores the values."""
        self.started_ms = started_ms
        self.ends_at = ends_at


class ServerPauses:
    """Pauses by server.

    Attributes:
        known: Pauses by the server's name, and ended ones until
            `drop_ended`. The entry of a server may lapse in its pause.
    """

    __slots__ = ('known',)

    def __init__(self) -> None:
        """Starts without pauses."""
        self.known: dict[str, Pause] = {}

    def record(self, server: ServerRecord, pause_s: float, now: float) -> None:
        """Records that a server asked for a pause.

        A shorter one doesn't end the one that has begun.

        Args:
            server: The server.
            pause_s: How long it wants nothing, in seconds.
            now: Monotonic seconds.
        """
        ends_at = max(now + pause_s, self.ends_at(server))
        self.known[server.name] = Pause(server.started_ms, ends_at)
        SERVER_PAUSES.inc()
        LOG.info(
            'server pauses',
            extra={
                'server': server.name,
                'pause_ms': round(1_000 * pause_s, 1),
                'remaining_ms': round(1_000 * (ends_at - now), 1),
            },
        )

    def ends_at(self, server: ServerRecord) -> float:
        """Returns when the pause of one incarnation of a server ends.

        Returns:
            Monotonic seconds; negative infinity if it has named none.
        """
        pause = self.known.get(server.name)
        if pause is None or pause.started_ms != server.started_ms:
            return float('-inf')
        return pause.ends_at

    def is_paused(self, server: ServerRecord, now: float) -> bool:
        """Returns whether a server wants nothing now."""
        return now < self.ends_at(server)

    def paused_until(
        self, servers: Iterable[ServerRecord], now: float
    ) -> float:
        """Returns when the first of some servers takes requests again.

        Args:
            servers: The servers.
            now: Monotonic seconds.

        Returns:
            Monotonic seconds; `now` if one does already, or if there is none.
        """
        first = min(map(self.ends_at, servers), default=now)
        return max(now, first)

    def drop_ended(self, now: float) -> None:
        """Drops the pauses that have ended, at a time in monotonic seconds."""
        for name, pause in list(self.known.items()):
            if now >= pause.ends_at:
                del self.known[name]
