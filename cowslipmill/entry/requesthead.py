"""Checks the head of a request and builds the forwarded headers."""

import re

from aiohttp import HttpVersion10
from aiohttp.web import BaseRequest
from multidict import CIMultiDict

from cowslipmill.outcomes.headers import DEADLINE_HEADER
from cowslipmill.outcomes.headers import HOP_BY_HOP
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason

VIA = '1.1 cowslipmill'
CHUNKED = 'chunked'
CONTINUE_EXPECTATION = '100-continue'
MAX_DEADLINE_DIGITS = 9

ORIGIN_FORM = re.compile(r'/[!-~]*', re.ASCII)
FORBIDDEN_IN_TARGET = re.compile(
    r'#|\\|/(?:\.|%2e){1,2}(?:[/?]|$)', re.IGNORECASE
)
DROPPED_HEADERS = HOP_BY_HOP | {
    'content-length',
    'expect',
    DEADLINE_HEADER.lower(),
    'via',
    'forwarded',
}


def check_head(request: BaseRequest) -> NotRun | None:
    """Returns the refusal of a request with an ambiguous head, or None.

    A server may parse such a head differently from this process, which
    allows request smuggling.
    """
    headers = request.headers
    target = request.raw_path
    if not ORIGIN_FORM.fullmatch(target):
        return bad_request('the target is not in origin form')
    if FORBIDDEN_IN_TARGET.search(target):
        return bad_request('the target holds a dot segment, # or backslash')
    coding = headers.get('Transfer-Encoding')
    if coding is not None:
        if request.version <= HttpVersion10 or 'Content-Length' in headers:
            return bad_request('Transfer-Encoding stands beside its rival')
        if coding.strip().lower() != CHUNKED:
            return bad_request('the only transfer coding taken is chunked')
    if (
        headers.get('Expect', CONTINUE_EXPECTATION).lower()
        != CONTINUE_EXPECTATION
    ):
        return bad_request('the only expectation met is 100-continue')
    return None


def bad_request(detail: str) -> NotRun:
    """Returns the refusal of a malformed request."""
    return NotRun(Reason.BAD_REQUEST, 0, detail)


def read_deadline_ms(request: BaseRequest, max_ms: int) -> int:
    """Returns the caller's timeout in milliseconds, at most `max_ms`.

    Without a valid deadline header it is `max_ms`.
    """
    value = request.headers.get(DEADLINE_HEADER)
    if value is None or len(value) > MAX_DEADLINE_DIGITS:
        return max_ms
    if not (value.isascii() and value.isdecimal()):
        return max_ms
    return min(max_ms, int(value))


def end_to_end_headers(request: BaseRequest) -> CIMultiDict[str]:
    """Returns the headers to forward to the server.

    Hop-by-hop headers are dropped; `Via` and `Forwarded` are extended.
    """
    received = request.headers
    dropped = DROPPED_HEADERS
    connection = received.get('Connection')
    if connection is not None:
        named = connection.lower().split(',')
        dropped = dropped.union(name.strip() for name in named)
    headers = CIMultiDict(
        [
            (name, value)
            for name, value in received.items()
            if name.lower() not in dropped
        ]
    )
    headers['Via'] = ', '.join((*received.getall('Via', ()), VIA))
    forwarded = received.getall('Forwarded', ())
    headers['Forwarded'] = ', '.join((*forwarded, forwarded_element(request)))
    return headers


def forwarded_element(request: BaseRequest) -> str:
    """Returns the element that this hop appends to `Forwarded`."""
    address = request.remote or 'unknown'
    if ':' in address:
        address = f'"[{address}]"'
    return f'for={address};proto=http'
