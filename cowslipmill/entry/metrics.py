"""Metrics of an entry."""

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
TRIES = Counter(
    'cowslipmill_tries_total',
    'Requests sent to backend servers, by service and result.',
    ('service', 'result'),
)
UPSTREAM_CONNECTIONS_OPENED = Counter(
    'cowslipmill_upstream_connections_opened_total',
    'Connections opened to backend servers.',
)
HEDGES = Counter(
    'cowslipmill_hedges_total',
    'Second tries of idempotent requests by route.',
    ('route',),
)
