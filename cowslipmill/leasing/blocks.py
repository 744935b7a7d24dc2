"""Log lines and metrics of servers that a coordinator blocks or ejects."""

from logging import getLogger

from prometheus_client import Counter

from cowslipmill.leasing.ejection import Change
from cowslipmill.leasing.ejection import Ejection

LOG = getLogger(__name__)

SERVER_BLOCKS = Counter(
    'cowslipmill_host_server_blocks_total',
    'Servers blocked by this host as a coordinator, by reason.',
    ('reason',),
)
SERVER_EJECTIONS = Counter(
    'cowslipmill_host_server_ejections_total',
    'Servers ejected for failures by this host as a coordinator, or returned.',
    ('change',),
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


def log_ejection(
    change: Change,
    server: str,
    service: str,
    ejection: Ejection,
    reporter: str,
    now: float,
) -> None:
    """Records that a coordinator ejects a server, or uses it again.

    Args:
        change: Which of both.
        server: The server's name.
        service: The service's name.
        ejection: The server's state after the change.
        reporter: Name of the host that reported the last result.
        now: Monotonic seconds.
    """
    SERVER_EJECTIONS.labels(change.value).inc()
    LOG.info(
        'server ejection',
        extra={
            'change': change.value,
            'server': server,
            'service': service,
            'seconds': round(max(0.0, ejection.ejected_until - now), 1),
            'ejections': ejection.ejections,
            'peer': reporter,
        },
    )
