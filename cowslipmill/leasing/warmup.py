"""Limits the requests granted at a server while it warms up.

For the case that servers turn cold after a start or at any later moment, and
crash if they get more requests than a cold server withstands.
"""

from logging import getLogger

from prometheus_client import Gauge

from cowslipmill.leasing.ratelimits import RateBucket
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.server import WARM_UP_TOLERANCE_S

LOG = getLogger(__name__)

# Window in which the requests at a cold server are bounded.
WINDOW_S = 1.0

COLD_SERVERS = Gauge(
    'cowslipmill_host_cold_servers',
    'Servers of this host as a coordinator that are warming up.',
)


class WarmUp:
    """How long one server stays cold, and the limit of its grants until then.

    The token bucket also counts the grants while the server is warm, without
    limiting them: it saves up nothing then and may have a debt of what it
    earns in `WINDOW_S`. So a window that ends with a grant at the cold server
    holds no more grants than the limit allows, including those right before
    the server turned cold.

    Attributes:
        server: The server's name.
        service: Name of its service.
        entry_until: When it has warmed up by its entry in the store.
        report_until: When it has warmed up by its last health response.
        cold_until: The later of both.
        slow_until: When it has warmed up by the entry by which it became
            known; other information doesn't count without a limit.
        granted_at: When a request was last granted.
        bucket: Grants of this host while it is cold; None for no limit.
        max_tokens: Grants that may be saved up while it is cold.

    All times are in monotonic seconds.
    """

    __slots__ = (
        'bucket',
        'cold_until',
        'entry_until',
        'first_until',
        'granted_at',
        'max_tokens',
        'report_until',
        'server',
        'service',
    )

    def __init__(self, record: ServerRecord, now: float) -> None:
        """Starts without a limit.

        Args:
            record: The server's entry, with the warm-up that remains now.
            now: Monotonic seconds.
        """
        self.server = record.name
        self.service = record.service
        self.bucket: RateBucket | None = None
        self.max_tokens = 0.0
        self.granted_at = float('-inf')
        self.entry_until = float('-inf')
        self.report_until = float('-inf')
        self.cold_until = float('-inf')
        self.first_until = now + record.warm_up_s
        self.record_entry(record.warm_up_s, now)

    @property
    def slow_until(self) -> float:
        """Until when the server counts as slow, in monotonic seconds."""
        return self.first_until if self.bucket is None else self.cold_until

    def record_entry(self, remaining_s: float, now: float) -> None:
        """Records what the server's entry in the store says.

        Args:
            remaining_s: Seconds for which it stays cold.
            now: Monotonic seconds.
        """
        entry_until = now + remaining_s
        self.set_cold_until(max(entry_until, self.report_until), now)
        self.entry_until = entry_until

    def record_report(self, remaining_s: float, now: float) -> None:
        """Records what a health response of the server says.

        Args:
            remaining_s: Seconds for which it stays cold.
            now: Monotonic seconds.
        """
        report_until = now + remaining_s
        self.set_cold_until(max(self.entry_until, report_until), now)
        self.report_until = report_until

    def set_cold_until(self, until: float, now: float) -> None:
        """Sets when the server has warmed up, and logs a warm-up that begins.

        Args:
            until: Monotonic seconds.
            now: Monotonic seconds.
        """
        # What was earned so far counts by what was known so far.
        self.refill(now)
        known_until = self.cold_until
        self.cold_until = until
        if now >= known_until and until > max(
            now, known_until + WARM_UP_TOLERANCE_S
        ):
            LOG.info(
                'server warming up',
                extra={
                    'server': self.server,
                    'service': self.service,
                    'remaining_ms': round(1_000 * (until - now), 1),
                },
            )

    def set_limit(
        self, per_s: float | None, max_tokens: float, now: float
    ) -> None:
        """Sets the rate of grants while the server is cold.

        Args:
            per_s: Requests a second that this host may grant; None for no
                limit.
            max_tokens: Requests that may be saved up.
            now: Monotonic seconds.
        """
        self.max_tokens = max_tokens
        if per_s is None:
            self.bucket = None
            return
        if self.bucket is None:
            self.bucket = RateBucket(now)
        self.refill(now)
        self.bucket.per_s = per_s

    def is_cold(self, now: float) -> bool:
        """Returns whether the server is warming up."""
        return now < self.cold_until

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last call."""
        if self.bucket is None:
            return
        cold = self.is_cold(now)
        self.bucket.max_tokens = self.max_tokens if cold else 0.0
        self.bucket.refill(now)

    def limited_per_s(self, now: float) -> float | None:
        """Returns the rate to which grants are limited; None for no limit."""
        if self.bucket is None or not self.is_cold(now):
            return None
        return self.bucket.per_s

    def available(self, now: float) -> int | None:
        """Returns how many requests may be granted now; None for any."""
        if self.bucket is None or not self.is_cold(now):
            return None
        self.refill(now)
        return int(self.bucket.tokens)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a request may be granted.

        That is when there is a token, or when the server has warmed up.
        """
        if self.bucket is None or not self.is_cold(now):
            return 0.0
        self.refill(now)
        return min(self.bucket.wait_s(now), self.cold_until - now)

    def spend(self, now: float) -> None:
        """Takes the token of a request that is granted now."""
        self.granted_at = now
        if self.bucket is None:
            return
        self.refill(now)
        self.bucket.spend()
        max_debt = self.bucket.per_s * WINDOW_S
        self.bucket.tokens = max(self.bucket.tokens, -max_debt)
