"""Parses load and leaving signals from the headers of a response."""

from collections.abc import Iterator
from collections.abc import Mapping

from cowslipmill.attempts.event import Load
from cowslipmill.attempts.event import NO_SIGNALS
from cowslipmill.attempts.event import Signals
from cowslipmill.outcomes.headers import LEAVING_HEADER
from cowslipmill.outcomes.headers import LOAD_HEADER

TEXT_PREFIX = 'TEXT '
IN_FLIGHT_METRIC = 'named_metrics.in_flight'
QUEUED_METRIC = 'named_metrics.queue'
MAX_REPORT_CHARS = 1_024
MAX_METRIC_VALUE = 1_000_000


def parse_signals(headers: Mapping[str, str]) -> Signals:
    """Returns the signals in the headers of a response.

    Args:
        headers: Headers with case-insensitive names.
    """
    report = headers.get(LOAD_HEADER)
    leaving = LEAVING_HEADER in headers
    if report is None and not leaving:
        return NO_SIGNALS
    return Signals(parse_load_report(report or ''), leaving)


def parse_load_report(report: str) -> Load | None:
    """Returns the load in a report, or None if it is malformed.

    Args:
        report: An ORCA load report in text format.
    """
    if len(report) > MAX_REPORT_CHARS or not report.startswith(TEXT_PREFIX):
        return None
    metrics = dict(parse_metrics(report.removeprefix(TEXT_PREFIX)))
    if IN_FLIGHT_METRIC not in metrics:
        return None
    in_flight = metrics[IN_FLIGHT_METRIC]
    return Load(in_flight, metrics.get(QUEUED_METRIC, 0))


def parse_metrics(text: str) -> Iterator[tuple[str, int]]:
    """Yields the integer metrics of a report, capped at `MAX_METRIC_VALUE`."""
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if value.isascii() and value.isdecimal():
            number = int(value) if len(value) < 8 else MAX_METRIC_VALUE
            yield name, min(number, MAX_METRIC_VALUE)
