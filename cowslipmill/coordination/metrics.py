"""Metrics of leases."""

from prometheus_client import Counter

ACQUIRED = Counter(
    'cowslipmill_leases_total',
    'Tickets of this entry by where they went and how they ended.',
    ('source', 'decision'),
)
