"""Renders an outcome as the HTTP response to the caller."""

from functools import singledispatch
from math import ceil

from msgspec import json

from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

OUTCOME_HEADER = 'Cowslipmill-Outcome'
PROBLEM_TYPE = 'application/problem+json'

NOT_RUN_STATUS = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.REQUEST_TOO_LARGE: 413,
    Reason.SLOW_CALLER: 408,
    Reason.KEY_INVALID: 400,
    Reason.KEY_REUSED: 422,
}
DEFAULT_NOT_RUN_STATUS = 503
UNKNOWN_STATUS = {Reason.DEADLINE: 504}
DEFAULT_UNKNOWN_STATUS = 502

# A retry of a request that was refused for one of these is refused again.
NON_RETRYABLE_REASONS = frozenset(NOT_RUN_STATUS) - {Reason.SLOW_CALLER}


class RenderedResponse:
    """An HTTP response that is ready to send.

    Attributes:
        status: Status code.
        headers: Pairs of name and value.
        body: The whole body.
    """

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Initializes the response."""
        self.status = status
        self.headers = headers
        self.body = body


@singledispatch
def render(outcome: Outcome) -> RenderedResponse:
    """Returns the HTTP response that reports an outcome to the caller.

    Raises:
        TypeError: If the argument is not an outcome.
    """
    raise TypeError(f'expected an outcome, got {outcome!r}')


@render.register
def render_answered(outcome: Answered) -> RenderedResponse:
    """Returns the server's response with the outcome in a header."""
    headers = [*outcome.headers, (OUTCOME_HEADER, outcome.label)]
    return RenderedResponse(outcome.status, headers, outcome.body)


@render.register
def render_not_run(outcome: NotRun) -> RenderedResponse:
    """Returns a problem response for a request that was not run.

    The retry delay is left out for reasons that a retry can't change.
    """
    status = NOT_RUN_STATUS.get(outcome.reason, DEFAULT_NOT_RUN_STATUS)
    retry_after_ms = outcome.retry_after_ms
    if outcome.reason in NON_RETRYABLE_REASONS:
        retry_after_ms = 0
    return render_problem(
        status, outcome.label, outcome.reason, retry_after_ms, outcome.detail
    )


@render.register
def render_unknown(outcome: Unknown) -> RenderedResponse:
    """Returns a problem response for a request that may have run."""
    status = UNKNOWN_STATUS.get(outcome.reason, DEFAULT_UNKNOWN_STATUS)
    return render_problem(
        status,
        outcome.label,
        outcome.reason,
        outcome.retry_after_ms,
        outcome.detail,
    )


def render_problem(
    status: int, label: str, reason: Reason, retry_after_ms: int, detail: str
) -> RenderedResponse:
    """Returns a response with problem details (RFC 9457) in JSON.

    Args:
        status: Status code.
        label: Name of the outcome.
        reason: Reason of the outcome.
        retry_after_ms: Retry delay in milliseconds; 0 leaves out the field
            and the `Retry-After` header.
        detail: One sentence for the caller.
    """
    content = {
        'status': status,
        'title': reason.value,
        'outcome': label,
        'detail': detail,
    }
    headers = [
        (OUTCOME_HEADER, f'{label}; reason={reason.value}'),
        ('Content-Type', PROBLEM_TYPE),
    ]
    if retry_after_ms > 0:
        content['retry_after_ms'] = retry_after_ms
        headers.append(('Retry-After', str(ceil(retry_after_ms / 1000))))
    return RenderedResponse(status, headers, json.encode(content))
