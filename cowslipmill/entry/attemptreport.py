"""What the end of a try says about its server."""

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
    """Returns the report to the chooser."""
    raise TypeError(f'not the end of a try: {event!r}')


@to_report.register
def report_response(event: AnswerRead) -> Report:
    """Counts a server error as a failure."""
    failed = event.status >= MIN_FAILURE_STATUS
    result = EntryLeaseResult.FAILED if failed else EntryLeaseResult.ANSWERED
    return Report(result, total_load(event.signals))


@to_report.register
def report_shed(event: Shed) -> Report:
    """Counts a refusal as a failure; it is fast and attracts work."""
    return Report(EntryLeaseResult.FAILED, total_load(event.signals))


@to_report.register
def report_connect_failure(event: ConnectFailed) -> Report:
    """Counts a connection that did not come about as a failure."""
    return Report(EntryLeaseResult.FAILED)


@to_report.register
def report_broken(event: ExchangeBroken) -> Report:
    """Counts a broken exchange, but not an answer that is too large."""
    if event.reason is Reason.ANSWER_TOO_LARGE:
        return Report(EntryLeaseResult.CANCELLED)
    return Report(EntryLeaseResult.FAILED)


def total_load(signals: Signals) -> int | None:
    """Returns the requests at a server by its report."""
    if signals.load is None:
        return None
    return signals.load.in_flight + signals.load.queued
