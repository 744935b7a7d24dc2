"""Metrics of the connections between peers."""

from prometheus_client import Counter

DROPPED_MESSAGES = Counter(
    'cowslipmill_peer_messages_dropped_total',
    'Messages of peers that were dropped, by reason.',
    ('reason',),
)
REFUSED_CONNECTIONS = Counter(
    'cowslipmill_peer_connections_refused_total',
    'Connections of peers that were cut off, by reason.',
    ('reason',),
)
SENT_BYTES = Counter(
    'cowslipmill_peer_sent_bytes_total', 'Bytes sent to peers.'
)
RECEIVED_BYTES = Counter(
    'cowslipmill_peer_received_bytes_total', 'Bytes received from peers.'
)
