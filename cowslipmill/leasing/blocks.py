"""Log lines and metrics of servers that a coordinator blocks."""

from logging import getLogger

from prometheus_client import Counter

LOG = getLogger(__name__)

SERVER_BLOCKS = Counter(
    'cowslipmill_host_server_blocks_total',
    'Servers blocked by this host as a coordinator, by reason.',
    ('reason',),
)


def log_block(server: str, service: str, reason: str, reporter: str) -> None:
    """Records that a coordinator grants no slot of a server for a while.

    Args:
        server: The server's name.
        service: The service's name.
        reason: `probe` if the server didn't respond to a load probe, else
            the reported result of a lease.
        reporter: Name of the host that reported it; empty for a probe.
    """
    SERVER_BLOCKS.labels(reason).inc()
    LOG.info(
        'server blocked',
        extra={
            'server': server,
            'service': service,
            'reason': reason,
            'peer': reporter,
        },
    )
