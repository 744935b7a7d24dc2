"""Metrics of an entry."""

from prometheus_client import Counter

REQUESTS = Counter(
    'cowslipmill_requests_total',
    'Requests of callers by route and outcome.',
    ('route', 'outcome'),
)
HEDGES = Counter(
    'cowslipmill_hedges_total',
    'Second tries of idempotent requests by route.',
    ('route',),
)
