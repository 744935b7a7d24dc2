"""Records each decision that touches a request: a line and a count."""

from collections.abc import Callable
from logging import getLogger

from prometheus_client import Counter
from prometheus_client import Histogram

from cowslipmill.forwarding.requestcontext import RequestContext
from cowslipmill.forwarding.sender import SendResult
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import Refusal

# Name of this logger in log lines.
LOG = getLogger('cowslipmill.host.journal')

REQUESTS = Counter(
    'cowslipmill_host_requests_total',
    'Requests by how they ended.',
    ('outcome',),
)
REASONS = Counter(
    'cowslipmill_host_request_failures_total',
    'Requests that were refused or failed, by reason.',
    ('reason',),
)
FURTHER_SENDS = Counter(
    'cowslipmill_host_further_sends_total',
    'Requests sent to a further server.',
)
DURATION = Histogram(
    'cowslipmill_host_request_duration_seconds',
    'Time from the whole request to its answer.',
    ('outcome',),
    buckets=(0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0),
)
PLACEMENT = Histogram(
    'cowslipmill_host_placement_duration_seconds',
    'Time until a request had its slot at a server.',
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 1.0),
)


def milliseconds(seconds: float) -> float:
    """Returns milliseconds to a tenth."""
    return round(seconds * 1000, 1)


class RequestLog:
    """Writes the lines of requests and counts their outcomes.

    Attributes:
        now: Returns monotonic seconds, for the time a placement took.
    """

    __slots__ = ('now',)

    def __init__(self, now: Callable[[], float]) -> None:
        """Keeps the clock."""
        self.now = now

    def placed(self, flight: RequestContext, grant: Grant) -> None:
        """A request got a slot."""
        waited_s = self.now() - flight.arrived_at
        PLACEMENT.observe(waited_s)
        LOG.info(
            'placed',
            extra={
                'request': flight.request_id,
                'route': flight.route.name,
                'service': flight.service,
                'server': grant.server,
                'waited_ms': milliseconds(waited_s),
                'asked_before_ms': milliseconds(
                    flight.arrived_at - flight.first_sent_at
                ),
                'expected_ms': milliseconds(grant.expected_duration_s),
                'slowdown': grant.slowdown,
                'load_age_ms': milliseconds(grant.load_age_s),
                'home': grant.coordinator[0],
            },
        )

    def not_placed(self, flight: RequestContext, refusal: Refusal) -> None:
        """A request got no slot."""
        LOG.info(
            'not placed',
            extra={
                'request': flight.request_id,
                'service': flight.service,
                'reason': refusal.reason,
                'waiting': refusal.waiting,
                'retry_after_ms': milliseconds(refusal.retry_after_s),
            },
        )

    def retried(self, flight: RequestContext, exchanged: SendResult) -> None:
        """A request goes to a further server."""
        FURTHER_SENDS.inc()
        LOG.info(
            'sent again',
            extra={
                'request': flight.request_id,
                'server': exchanged.server,
                'result': type(exchanged).__name__,
                'reason': exchanged.reason,
                'sends': flight.attempts.sends,
                'budget': round(flight.attempts.budget.tokens, 1),
            },
        )

    def answered(
        self, flight: RequestContext, status: int, now: float
    ) -> None:
        """A server's answer goes to the caller."""
        took_s = now - flight.arrived_at
        REQUESTS.labels('answered').inc()
        DURATION.labels('answered').observe(took_s)
        LOG.info(
            'answered',
            extra={
                'request': flight.request_id,
                'route': flight.route.name,
                'status': status,
                'took_ms': milliseconds(took_s),
                'objective_ms': milliseconds(flight.route.objective_s),
                'sends': flight.attempts.sends,
                'caller_left': flight.caller_left,
            },
        )

    def refused(
        self,
        flight: RequestContext,
        reason: str,
        retry_after_s: float,
        now: float,
    ) -> None:
        """A request is told that it has not run."""
        self.ended(flight, 'refused', reason, now, retry_after_s)

    def failed(
        self, flight: RequestContext, reason: str, status: int, now: float
    ) -> None:
        """A request is told that nothing is known of it."""
        self.ended(flight, 'unknown', f'{status} {reason}', now, None)

    def cancelled(self, flight: RequestContext, now: float) -> None:
        """A request's caller has gone."""
        self.ended(flight, 'cancelled', 'caller left', now, None)

    def ended(
        self,
        flight: RequestContext,
        outcome: str,
        reason: str,
        now: float,
        retry_after_s: float | None,
    ) -> None:
        """Records the end of a request without a server's answer."""
        took_s = now - flight.arrived_at
        REQUESTS.labels(outcome).inc()
        REASONS.labels(reason[:40]).inc()
        DURATION.labels(outcome).observe(took_s)
        extra = {
            'request': flight.request_id,
            'route': flight.route.name,
            'service': flight.service,
            'reason': reason,
            'took_ms': milliseconds(took_s),
            'asked_before_ms': milliseconds(
                flight.arrived_at - flight.first_sent_at
            ),
            'servers': flight.attempts.excluded,
            'sends': flight.attempts.sends,
        }
        if retry_after_s is not None:
            extra['retry_after_ms'] = milliseconds(retry_after_s)
        LOG.info(outcome, extra=extra)

    def unrouted(self, request_id: str, reason: str, status: int) -> None:
        """A request has no route here."""
        REQUESTS.labels('unrouted').inc()
        LOG.info(
            'unrouted',
            extra={
                'request': request_id,
                'reason': reason,
                'status': status,
            },
        )
