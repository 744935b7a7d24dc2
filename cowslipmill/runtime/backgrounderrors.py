"""Unexpected errors in work that a process goes on without."""

from collections.abc import Awaitable
from collections.abc import Iterator
from contextlib import contextmanager
from logging import getLogger

from prometheus_client import Counter

LOG = getLogger(__name__)

BACKGROUND_ERRORS = Counter(
    'cowslipmill_background_errors_total',
    'Unexpected errors that ended one piece of work, by the work.',
    ('work',),
)


@contextmanager
def logged_errors(work: str) -> Iterator[None]:
    """Logs and counts an unexpected error instead of raising it.

    For work that is repeated or may be lost, so that one error, such as that
    of a malformed message, doesn't end the process.

    Args:
        work: What fails, for the log and the metric.
    """
    try:
        yield
    except Exception:
        BACKGROUND_ERRORS.labels(work).inc()
        LOG.exception('internal error', extra={'work': work})


async def run_logged(work: str, awaitable: Awaitable[object]) -> None:
    """Awaits something; see `logged_errors`."""
    with logged_errors(work):
        await awaitable
