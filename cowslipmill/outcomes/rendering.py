"""What a caller is told of an outcome: status, headers and body."""

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

# A caller that sends one of these again gets the same refusal.
FINAL_REASONS = frozenset(NOT_RUN_STATUS) - {Reason.SLOW_CALLER}


class RenderedResponse:
    """An HTTP answer that is ready to send.

    Attributes:
        status: Status code.
        headers: Pairs of name and value.
        body: The whole body.
    """

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Keeps the three parts."""
        self.status = status
        self.headers = headers
        self.body = body


@singledispatch
def render(outcome: Outcome) -> RenderedResponse:
    """Returns the HTTP answer that tells a caller its outcome."""
    raise TypeError(f'not an outcome: {outcome!r}')


@render.register
def render_answered(outcome: Answered) -> RenderedResponse:
    """Passes the server's answer on, marked as answered."""
    headers = [*outcome.headers, (OUTCOME_HEADER, outcome.label)]
    return RenderedResponse(outcome.status, headers, outcome.body)


@render.register
def render_not_run(outcome: NotRun) -> RenderedResponse:
    """Says that the request was not run, and when to send it again."""
    status = NOT_RUN_STATUS.get(outcome.reason, DEFAULT_NOT_RUN_STATUS)
    retry_after_ms = outcome.retry_after_ms
    if outcome.reason in FINAL_REASONS:
        retry_after_ms = 0
    return render_problem(
        status, outcome.label, outcome.reason, retry_after_ms, outcome.detail
    )


@render.register
def render_unknown(outcome: Unknown) -> RenderedResponse:
    """Says that the request may have run."""
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
    """Returns problem details in JSON with the outcome in a header."""
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
