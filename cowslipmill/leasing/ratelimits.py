"""The rate limits that servers name, as this host knows them.

For the case that a server in trouble asks for less: what it accepts from all
hosts together, as long as its responses say so.
"""

from logging import getLogger

from msgspec import Struct
from prometheus_client import Counter

LOG = getLogger(__name__)

# Shares of a server's limit for the coordinators of its failure domain, by
# rank, and how many requests each may save up. The first one usually
# coordinates alone. If hosts disagree about which one it is, as after a
# failure, the shares of all together are one and a half times the limit.
COORDINATOR_SHARES = ((0.9, 2.0), (0.36, 1.0), (0.144, 1.0))
# Without a request now and then, no response would tell that a limit has
# ended.
MIN_LIMIT_PER_S = 0.25
# Bounds the expected wait for a server that this host may not use at all.
MIN_BUCKET_PER_S = 0.05
# Number of servers whose limits are kept.
MAX_KNOWN = 4_096

RATE_LIMITS = Counter(
    'cowslipmill_host_rate_limits_total',
    'Rate limits of servers that this host learned or that ended.',
    ('event',),
)


class LimitReport(Struct, frozen=True, array_like=True):
    """What a host knows of a server's rate limit.

    Attributes:
        per_s: Requests a second from all hosts together; None if the server
            named a limit before and doesn't any more.
        age_s: Seconds since a response of the server said so.
    """

    per_s: float | None
    age_s: float


class RateBucket:
    """A token bucket that limits the requests granted at one server.

    Attributes:
        per_s: Tokens added each second.
        max_tokens: Limit of the tokens saved up.
        tokens: Tokens at `updated_at`; none at first, since others may just
            have used theirs.
        updated_at: Monotonic seconds.
    """

    __slots__ = ('max_tokens', 'per_s', 'tokens', 'updated_at')

    def __init__(self, now: float) -> None:
        """Starts without tokens; `set_rate` sets the rate."""
        self.per_s = 0.0
        self.max_tokens = 0.0
        self.tokens = 0.0
        self.updated_at = now

    def set_rate(self, per_s: float, max_tokens: float, now: float) -> None:
        """Changes the rate; tokens saved up beyond the limit are lost."""
        self.refill(now)
        self.per_s = per_s
        self.max_tokens = max_tokens
        self.tokens = min(self.tokens, max_tokens)

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last call."""
        earned = self.per_s * max(0.0, now - self.updated_at)
        self.tokens = min(self.max_tokens, self.tokens + earned)
        self.updated_at = now

    def available(self, now: float) -> int:
        """Returns how many requests may be granted now."""
        self.refill(now)
        return int(self.tokens)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a request may be granted."""
        self.refill(now)
        missing = max(0.0, 1.0 - self.tokens)
        return missing / max(MIN_BUCKET_PER_S, self.per_s)

    def spend(self) -> None:
        """Takes the token of a request."""
        self.tokens -= 1.0


class KnownLimit:
    """The rate limit of one server.

    Attributes:
        started_ms: Unix milliseconds of the server's start.
        per_s: Requests a second from all hosts; None if it has ended.
        observed_at: When a response said so, in monotonic seconds.
    """

    __slots__ = ('observed_at', 'per_s', 'started_ms')

    def __init__(
        self, started_ms: int, per_s: float | None, observed_at: float
    ) -> None:
        """Stores the values."""
        self.started_ms = started_ms
        self.per_s = per_s
        self.observed_at = observed_at


class RateLimits:
    """Rate limits by server.

    Attributes:
        known: Limits by the server's name, also those that have ended, so
            that an older report doesn't revive them, and those of servers
            whose entries have lapsed. Beyond `MAX_KNOWN` the one named first
            is forgotten.
    """

    __slots__ = ('known',)

    def __init__(self) -> None:
        """Starts without limits."""
        self.known: dict[str, KnownLimit] = {}

    def find(self, server: str, started_ms: int) -> KnownLimit | None:
        """Returns what is known of one incarnation of a server."""
        limit = self.known.get(server)
        if limit is None or limit.started_ms != started_ms:
            return None
        return limit

    def per_s(self, server: str, started_ms: int) -> float | None:
        """Returns the limit in force; None for none."""
        limit = self.find(server, started_ms)
        return None if limit is None else limit.per_s

    def record(
        self,
        server: str,
        started_ms: int,
        per_s: float | None,
        observed_at: float,
    ) -> None:
        """Records what a response said, unless something newer is known.

        Args:
            server: The server's name.
            started_ms: Unix milliseconds of the server's start.
            per_s: Requests a second from all hosts; None for no limit.
            observed_at: When the response was received, in monotonic seconds.
        """
        limit = self.find(server, started_ms)
        if limit is None and per_s is None:
            return
        if limit is None:
            limit = KnownLimit(started_ms, None, float('-inf'))
            self.known.pop(server, None)
            self.known[server] = limit
            if len(self.known) > MAX_KNOWN:
                del self.known[next(iter(self.known))]
        if observed_at < limit.observed_at:
            return
        limit.observed_at = observed_at
        if per_s == limit.per_s:
            return
        limit.per_s = per_s
        RATE_LIMITS.labels('ended' if per_s is None else 'named').inc()
        LOG.info('server limit', extra={'server': server, 'per_s': per_s})

    def learn(
        self, server: str, started_ms: int, report: LimitReport, now: float
    ) -> None:
        """Records what another host knows."""
        observed_at = now - max(0.0, report.age_s)
        self.record(server, started_ms, report.per_s, observed_at)

    def is_newer(
        self,
        server: str,
        started_ms: int,
        other: LimitReport | None,
        now: float,
    ) -> bool:
        """Returns whether a limit is in force that another host lacks.

        Args:
            server: The server's name.
            started_ms: Unix milliseconds of the server's start.
            other: What the other host knows of it.
            now: Monotonic seconds.
        """
        limit = self.find(server, started_ms)
        if limit is None or limit.per_s is None:
            return False
        if other is None:
            return True
        return other.per_s is None and other.age_s > now - limit.observed_at

    def report(
        self, server: str, started_ms: int, now: float
    ) -> LimitReport | None:
        """Returns what to tell another host of a server's limit, if any."""
        limit = self.find(server, started_ms)
        if limit is None:
            return None
        age_s = round(max(0.0, now - limit.observed_at), 4)
        return LimitReport(limit.per_s, age_s)
