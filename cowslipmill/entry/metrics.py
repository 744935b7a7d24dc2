"""Prometheus metrics of an entry."""

from functools import cache

from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

DURATION_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)

REQUESTS = Counter(
    'cowslipmill_requests_total',
    'Requests of callers by route, outcome and reason.',
    ('route', 'outcome', 'reason'),
)
REQUEST_DURATION = Histogram(
    'cowslipmill_request_duration_seconds',
    'Time from the head of a request to its outcome.',
    ('route',),
    buckets=DURATION_BUCKETS_S,
)
REQUESTS_IN_FLIGHT = Gauge(
    'cowslipmill_requests_in_flight',
    'Requests of callers that have no outcome yet.',
)
CALLER_CONNECTIONS = Gauge(
    'cowslipmill_caller_connections',
    'Open connections from callers.',
)
CUT_CONNECTIONS = Counter(
    'cowslipmill_caller_connections_cut_total',
    'Connections from callers that were cut or refused, by reason.',
    ('reason',),
)
INTERNAL_ERRORS = Counter(
    'cowslipmill_internal_errors_total',
    'Requests that met an unexpected error of this process.',
)
ATTEMPTS = Counter(
    'cowslipmill_tries_total',
    'Requests sent to backend servers, by service and result.',
    ('service', 'result'),
)
SUSPECT_REPORTS = Counter(
    'cowslipmill_suspect_reports_total',
    'Crash reports and clearances of suspect requests by this entry.',
    ('kind',),
)
HEDGES = Counter(
    'cowslipmill_hedges_total',
    'Second tries of idempotent requests by route.',
    ('route',),
)


class RouteMetrics:
    """Metrics of one route, with their labels resolved.

    Attributes:
        route: Name of the route, or '' for requests without one.
        answered: Requests that a server answered.
        duration: Seconds to the outcome.
        refused: Requests without a response of a server, by outcome and
            reason.
    """

    __slots__ = ('answered', 'duration', 'refused', 'route')

    def __init__(self, route: str) -> None:
        """Resolves the labels that every route uses."""
        self.route = route
        self.answered = REQUESTS.labels(route, 'answered', '')
        self.duration = REQUEST_DURATION.labels(route)
        self.refused: dict[tuple[str, str], Counter] = {}

    def count_refused(self, outcome: str, reason: str) -> None:
        """Counts one request that ended without a response of a server."""
        counter = self.refused.get((outcome, reason))
        if counter is None:
            counter = REQUESTS.labels(self.route, outcome, reason)
            self.refused[outcome, reason] = counter
        counter.inc()


@cache
def route_metrics(route: str) -> RouteMetrics:
    """Returns the metrics of a route.

    Route names come from the document, not from callers.
    """
    return RouteMetrics(route)


@cache
def attempt_counter(service: str, result: str) -> Counter:
    """Returns the counter of attempts at a service with one result."""
    return ATTEMPTS.labels(service, result)
