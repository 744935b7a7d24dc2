"""Metrics of the choice of a server."""

from prometheus_client import Counter

MEASURING_CALLS = Counter(
    'cowslipmill_measuring_calls_total',
    'Calls that were made to servers only to measure them.',
)
