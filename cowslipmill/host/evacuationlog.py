"""Log line and metric of evacuations."""

from logging import getLogger

from prometheus_client import Gauge

from cowslipmill.view.events import EvacuationChanged

LOG = getLogger(__name__)

EVACUATED_DOMAINS = Gauge(
    'cowslipmill_host_evacuated_domains',
    'Failure domains that are evacuated, as far as this host knows.',
)


def log_evacuation(
    event: EvacuationChanged, source: str, domain_count: int
) -> None:
    """Logs that an evacuation began or ended and sets the gauge.

    Args:
        event: The change.
        source: Where it came from, as in other log lines of the view.
        domain_count: Number of failure domains that are evacuated now.
    """
    EVACUATED_DOMAINS.set(domain_count)
    LOG.info(
        'evacuation',
        extra={
            'failure_domain': event.failure_domain,
            'active': event.active,
            'revision': event.revision,
            'source': source,
        },
    )
