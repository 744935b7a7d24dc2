"""Maps the result of an attempt to the report to the chooser."""

from functools import singledispatch

from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import ConnectFailed
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import ExchangeBroken
from cowslipmill.attempts.event import Shed
from cowslipmill.attempts.event import Signals
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Report
from cowslipmill.outcomes.outcome import Reason

MIN_FAILURE_STATUS = 500


@singledispatch
def to_report(event: Event) -> Report:
    """Returns the report to the chooser.

    Raises:
        TypeError: If the event does not end an attempt.
    """
    raise TypeError(f'event does not end an attempt: {event!r}')


@to_report.register
def report_response(event: AnswerRead) -> Report:
    """Counts a server error as a failure."""
    failed = event.status >= MIN_FAILURE_STATUS
    result = EntryLeaseResult.FAILED if failed else EntryLeaseResult.ANSWERED
    return Report(result, total_load(event.signals))


@to_report.register
def report_shed(event: Shed) -> Report:
    """Counts a shed request as a failure.

    Shedding is fast, so its low latency would attract more requests.
    """
    return Report(EntryLeaseResult.FAILED, total_load(event.signals))


@to_report.register
def report_connect_failure(event: ConnectFailed) -> Report:
    """Counts a failed connection attempt as a failure."""
    return Report(EntryLeaseResult.FAILED)


@to_report.register
def report_broken(event: ExchangeBroken) -> Report:
    """Counts a broken exchange as a failure, except an oversized response."""
    if event.reason is Reason.ANSWER_TOO_LARGE:
        return Report(EntryLeaseResult.CANCELLED)
    return Report(EntryLeaseResult.FAILED)


def total_load(signals: Signals) -> int | None:
    """Returns the number of requests at a server, or None if unreported."""
    if signals.load is None:
        return None
    return signals.load.in_flight + signals.load.queued
