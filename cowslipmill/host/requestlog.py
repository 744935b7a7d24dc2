"""Log lines and metrics of each decision about a request."""

from collections.abc import Callable
from logging import getLogger

from prometheus_client import Counter
from prometheus_client import Histogram

from cowslipmill.forwarding.requestcontext import RequestContext
from cowslipmill.forwarding.sendresult import SendResult
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import Refusal

# The logger keeps the name that the module had before.
LOG = getLogger('cowslipmill.host.journal')

REQUESTS = Counter(
    'cowslipmill_host_requests_total',
    'Requests by how they ended.',
    ('outcome',),
)
FAILURES = Counter(
    'cowslipmill_host_request_failures_total',
    'Requests that were refused or failed, by reason.',
    ('reason',),
)
RETRIES = Counter(
    'cowslipmill_host_further_sends_total',
    'Requests sent to a further server.',
)
REQUEST_DURATION = Histogram(
    'cowslipmill_host_request_duration_seconds',
    'Time from the whole request to its answer.',
    ('outcome',),
    buckets=(0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0),
)
PLACEMENT_DURATION = Histogram(
    'cowslipmill_host_placement_duration_seconds',
    'Time until a request had its slot at a server.',
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 1.0),
)


def to_milliseconds(seconds: float) -> float:
    """Converts seconds to milliseconds, rounded to a tenth."""
    return round(seconds * 1000, 1)


class RequestLog:
    """Logs the decisions about requests and counts their outcomes.

    Attributes:
        clock: Returns monotonic seconds.
    """

    __slots__ = ('clock',)

    def __init__(self, clock: Callable[[], float]) -> None:
        """Stores the clock."""
        self.clock = clock

    def placed(self, context: RequestContext, grant: Grant) -> None:
        """Records that a request was granted a slot at a server.

        In the log line, `asked_before_ms` is the time from the caller's first
        sending of the request to its arrival at this host, and `home` is the
        IP address of the coordinator, empty if that is this host.
        """
        waited_s = self.clock() - context.arrived_at
        PLACEMENT_DURATION.observe(waited_s)
        LOG.info(
            'placed',
            extra={
                'request': context.request_id,
                'route': context.route.name,
                'service': context.service,
                'server': grant.server,
                'waited_ms': to_milliseconds(waited_s),
                'asked_before_ms': to_milliseconds(
                    context.arrived_at - context.first_sent_at
                ),
                'expected_ms': to_milliseconds(grant.expected_duration_s),
                'slowdown': grant.slowdown,
                'load_age_ms': to_milliseconds(grant.load_age_s),
                'home': grant.coordinator[0],
            },
        )

    def not_placed(self, context: RequestContext, refusal: Refusal) -> None:
        """Records that a request was refused a slot.

        In the log line, `home` is the IP address of the coordinator, empty if
        that is this host.
        """
        LOG.info(
            'not placed',
            extra={
                'request': context.request_id,
                'service': context.service,
                'reason': refusal.reason,
                'waiting': refusal.waiting,
                'home': refusal.coordinator[0],
                'retry_after_ms': to_milliseconds(refusal.retry_after_s),
                'work_ms': to_milliseconds(refusal.work_s),
                'room': refusal.room,
            },
        )

    def retried(
        self, context: RequestContext, send_result: SendResult
    ) -> None:
        """Records that a request will be retried at another server.

        Args:
            context: The request.
            send_result: How the previous attempt ended.
        """
        RETRIES.inc()
        LOG.info(
            'sent again',
            extra={
                'request': context.request_id,
                'server': send_result.server,
                'result': type(send_result).__name__,
                'reason': send_result.reason,
                'sends': context.attempts.sends,
                'budget': round(context.attempts.budget.tokens, 1),
            },
        )

    def answered(
        self, context: RequestContext, status: int, now: float
    ) -> None:
        """Records that a server's response is returned to the caller.

        Args:
            context: The request.
            status: The response's status.
            now: Monotonic seconds.
        """
        took_s = now - context.arrived_at
        REQUESTS.labels('answered').inc()
        REQUEST_DURATION.labels('answered').observe(took_s)
        LOG.info(
            'answered',
            extra={
                'request': context.request_id,
                'route': context.route.name,
                'status': status,
                'took_ms': to_milliseconds(took_s),
                'objective_ms': to_milliseconds(context.route.objective_s),
                'sends': context.attempts.sends,
                'caller_left': context.caller_left,
            },
        )

    def refused(
        self,
        context: RequestContext,
        reason: str,
        retry_after_s: float,
        now: float,
    ) -> None:
        """Records a refusal, which tells the caller that nothing ran.

        Args:
            context: The request.
            reason: Why it was refused.
            retry_after_s: The Retry-After sent to the caller.
            now: Monotonic seconds.
        """
        self.record_unanswered(context, 'refused', reason, now, retry_after_s)

    def failed(
        self, context: RequestContext, reason: str, status: int, now: float
    ) -> None:
        """Records a failure that leaves open whether the request ran.

        Args:
            context: The request.
            reason: Why it failed.
            status: The status sent to the caller.
            now: Monotonic seconds.
        """
        self.record_unanswered(
            context, 'unknown', f'{status} {reason}', now, None
        )

    def cancelled(self, context: RequestContext, now: float) -> None:
        """Records that a request ended without an answer.

        Either its caller disconnected, or this host ended before it had an
        answer.
        """
        if context.caller_left:
            outcome, reason = 'cancelled', 'caller left'
        else:
            outcome, reason = 'cut off', 'this host ended'
        self.record_unanswered(context, outcome, reason, now, None)

    def record_unanswered(
        self,
        context: RequestContext,
        outcome: str,
        reason: str,
        now: float,
        retry_after_s: float | None,
    ) -> None:
        """Records the end of a request that got no response from a server.

        Args:
            context: The request.
            outcome: Event of the log line and label of the metrics.
            reason: Why the request ended.
            now: Monotonic seconds.
            retry_after_s: The Retry-After sent to the caller, if any.
        """
        took_s = now - context.arrived_at
        REQUESTS.labels(outcome).inc()
        # A reason may hold the text of an exception of any length.
        FAILURES.labels(reason[:40]).inc()
        REQUEST_DURATION.labels(outcome).observe(took_s)
        extra = {
            'request': context.request_id,
            'route': context.route.name,
            'service': context.service,
            'reason': reason,
            'took_ms': to_milliseconds(took_s),
            'asked_before_ms': to_milliseconds(
                context.arrived_at - context.first_sent_at
            ),
            'servers': context.attempts.excluded,
            'sends': context.attempts.sends,
        }
        if retry_after_s is not None:
            extra['retry_after_ms'] = to_milliseconds(retry_after_s)
        if retry_after_s is not None and context.refusal is not None:
            extra['work_ms'] = to_milliseconds(context.refusal.work_s)
            extra['room'] = context.refusal.room
        LOG.info(outcome, extra=extra)

    def unrouted(self, request_id: str, reason: str, status: int) -> None:
        """Records a request that no route of this host matches.

        Args:
            request_id: The request's id, or an empty string.
            reason: Why there is no route.
            status: The status sent to the caller.
        """
        REQUESTS.labels('unrouted').inc()
        LOG.info(
            'unrouted',
            extra={
                'request': request_id,
                'reason': reason,
                'status': status,
            },
        )
