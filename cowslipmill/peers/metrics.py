"""Metrics of the links between peers."""

from prometheus_client import Counter

DROPPED = Counter(
    'cowslipmill_peer_messages_dropped_total',
    'Messages of peers that were dropped, by reason.',
    ('reason',),
)
REFUSED_PEERS = Counter(
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
