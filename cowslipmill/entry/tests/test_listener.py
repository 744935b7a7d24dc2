"""Tests of the listener: framing, size limits, responses and errors."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import MatchesAny
from testtools.matchers import Not
from testtools.matchers import StartsWith

from cowslipmill.entry.tests.conftest import Caller
from cowslipmill.entry.tests.conftest import END
from cowslipmill.entry.tests.conftest import GET
from cowslipmill.entry.tests.conftest import POST
from cowslipmill.entry.tests.conftest import TIMEOUT_S
from cowslipmill.entry.tests.conftest import wait_for_requests
from cowslipmill.outcomes.outcome import Answered


async def test_request_is_forwarded_with_end_to_end_headers(
    caller: Caller,
) -> None:
    """Hop-by-hop headers are dropped; Via and Forwarded are extended."""
    await caller.send(
        GET + b'Connection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n'
        b'Keep-Alive: 5\r\nUpgrade: h2c\r\nProxy-Connection: close\r\n'
        b'X-Kept: 1\r\nx-kept: 2\r\nVia: 1.0 portal\r\n'
        b'Forwarded: for=192.0.2.1' + END
    )
    headers = caller.request_guard.requests[0].headers
    expected = {
        ('Host', 'a'),
        ('X-Kept', '1'),
        ('x-kept', '2'),
        ('Via', '1.0 portal, 1.1 cowslipmill'),
        ('Forwarded', 'for=192.0.2.1, for=127.0.0.1;proto=http'),
    }
    assert_that(set(headers.items()), Equals(expected))


async def test_compressed_body_is_forwarded_unchanged(caller: Caller) -> None:
    """Bodies are never decoded."""
    body = b'not really gzip'
    await caller.send(
        POST + b'Content-Encoding: gzip\r\nConnection: close\r\n'
        b'Content-Length: %d' % len(body) + END + body
    )
    request = caller.request_guard.requests[0]
    assert_that(request.body, Equals(body))
    assert_that(request.headers['Content-Encoding'], Equals('gzip'))


async def test_response_is_forwarded_whole(caller: Caller) -> None:
    """Status, headers and body are those of the server."""
    received = await caller.send(GET + b'Connection: close' + END)
    assert_that(received, StartsWith(b'HTTP/1.1 200 OK\r\nX-From: server\r\n'))
    assert_that(received, Contains(b'Cowslipmill-Outcome: answered\r\n'))
    assert_that(received.endswith(END + b'whole'), Equals(True))


async def test_response_to_head_keeps_content_length(caller: Caller) -> None:
    """Content-Length is forwarded and no body follows."""
    headers = (('Content-Length', '9000'),)
    caller.request_guard.outcome = Answered(200, headers, b'', 'desk-0')
    received = await caller.send(
        GET.replace(b'GET', b'HEAD') + b'Connection: close' + END
    )
    assert_that(received, Contains(b'\r\nContent-Length: 9000\r\n'))
    assert_that(received.endswith(END), Equals(True))


@pytest.mark.parametrize('status', [204, 304])
async def test_bodyless_status_ends_with_its_head(
    caller: Caller, status: int
) -> None:
    """Neither a body nor a transfer coding is added."""
    caller.request_guard.outcome = Answered(status, (), b'', 'desk-0')
    received = await caller.send(GET + b'Connection: close' + END)
    assert_that(received, StartsWith(b'HTTP/1.1 %d ' % status))
    assert_that(received, Not(Contains(b'Transfer-Encoding')))
    assert_that(received.endswith(END), Equals(True))


BAD_REQUEST = (b'HTTP/1.1 400 ', b'HTTP/1.0 400 ')
SMUGGLED = b'GET /desks/8 HTTP/1.1\r\nHost: a\r\n\r\n'
REFUSED_HEADS = [
    POST + b'Content-Length: 3\r\nTransfer-Encoding: chunked' + END,
    POST + b'Transfer-Encoding: chunked\r\nContent-Length: 3' + END,
    POST + b'Content-Length: 3\r\nContent-Length: 5' + END + b'abcde',
    POST + b'Content-Length: 3, 5' + END + b'abcde',
    POST + b'Content-Length: +3' + END + b'abc',
    POST + b'Content-Length: 0x3' + END + b'abc',
    POST + b'Content-Length: -3' + END + b'abc',
    POST + b'Content-Length : 3' + END + b'abc',
    POST + b'Content-Length: 3\r\n 5' + END + b'abcde',
    POST + b'Transfer-Encoding: xchunked' + END + b'0\r\n\r\n',
    POST + b'Transfer-Encoding: gzip, chunked' + END + b'0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked, identity' + END + b'0\r\n\r\n',
    POST + b'Transfer-Encoding : chunked' + END + b'0\r\n\r\n',
    POST + b'Transfer-Encoding:\x0bchunked' + END + b'0\r\n\r\n',
    POST.replace(b'1.1', b'1.0')
    + b'Transfer-Encoding: chunked'
    + END
    + b'0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked' + END + b'3;\nabc\r\n0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked' + END + b'0x3\r\nabc\r\n0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked' + END + b'3\r\nabcd\r\n0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked' + END + b'-3\r\nabc\r\n0\r\n\r\n',
    GET + b'Bad Header: 1' + END,
    GET + b'X: a\x00b' + END,
    GET + b'X: a\rb' + END,
    GET + b': empty' + END,
    GET + b'Host: b' + END,
    b'GET /desks/7 HTTP/1.1' + END,
    b'GET /desks/7 HTTP/9.1\r\nHost: a' + END,
    b'GET http://a/desks/7 HTTP/1.1\r\nHost: a' + END,
    b'GET /desks/.. HTTP/1.1\r\nHost: a' + END,
    b'GET /desks/%2E%2e HTTP/1.1\r\nHost: a' + END,
    b'GET /desks/7#part HTTP/1.1\r\nHost: a' + END,
    b'GET /desks\\7 HTTP/1.1\r\nHost: a' + END,
    b'GET /desks/\xc3\xa9 HTTP/1.1\r\nHost: a' + END,
    b'OPTIONS * HTTP/1.1\r\nHost: a' + END,
    b'CONNECT a:80 HTTP/1.1\r\nHost: a' + END,
    b'G@T /desks/7 HTTP/1.1\r\nHost: a' + END,
    GET + b'Expect: wonders' + END,
    GET + b''.join(b'X-%d: 1\r\n' % n for n in range(200)) + b'\r\n',
    GET + b'X: ' + b'x' * 9_000 + END,
    b'GET /desks/' + b'7' * 9_000 + b' HTTP/1.1\r\nHost: a' + END,
    b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + END,
]


@pytest.mark.parametrize('head', REFUSED_HEADS)
async def test_ambiguous_request_is_refused_and_connection_closed(
    caller: Caller, head: bytes
) -> None:
    """Nothing is forwarded, and the bytes after it are not parsed.

    Otherwise the second request would be smuggled past the checks.
    """
    received = await caller.send(head + SMUGGLED)
    assert_that(received[:13], MatchesAny(*(Equals(x) for x in BAD_REQUEST)))
    expected = b'Cowslipmill-Outcome: not-run; reason=bad-request\r\n'
    assert_that(received, Contains(expected))
    assert_that(received.count(b'Cowslipmill-Outcome'), Equals(1))
    assert_that(caller.request_guard.requests, HasLength(0))


@pytest.mark.parametrize(
    'head_and_body',
    [
        b'Content-Length: 101' + END,
        b'Content-Length: 99999999999999999' + END,
        b'Transfer-Encoding: chunked' + END + b'65\r\n' + b'x' * 101,
        b'Content-Length: 101\r\nExpect: 100-continue' + END,
    ],
)
async def test_oversized_body_is_refused_before_it_is_read(
    caller: Caller, head_and_body: bytes
) -> None:
    """Declared and chunked bodies have the size limit of the route."""
    received = await caller.send(POST + head_and_body)
    assert_that(received, StartsWith(b'HTTP/1.1 413 '))
    assert_that(received, Contains(b'not-run; reason=request-too-large'))
    assert_that(caller.request_guard.requests, HasLength(0))


async def test_expect_continue_is_answered_here(
    caller: Caller,
) -> None:
    """The caller gets 100 Continue; the header is not forwarded."""
    reader, writer = await caller.open()
    writer.write(
        POST + b'Content-Length: 3\r\nExpect: 100-continue\r\n'
        b'Connection: close' + END
    )
    async with asyncio.timeout(TIMEOUT_S):
        asked = await reader.readuntil(END)
        writer.write(b'abc')
        received = await reader.read()
    writer.close()
    assert_that(asked, Equals(b'HTTP/1.1 100 Continue' + END))
    assert_that(received, StartsWith(b'HTTP/1.1 200 OK\r\n'))
    request = caller.request_guard.requests[0]
    assert_that(request.body, Equals(b'abc'))
    assert_that('Expect' in request.headers, Equals(False))


async def test_pipelined_requests_are_served_in_order(
    caller: Caller,
) -> None:
    """Each request on a persistent connection gets its own response."""
    second = POST + b'Connection: close\r\nTransfer-Encoding: chunked' + END
    received = await caller.send(
        GET + b'\r\n' + second + b'3\r\nabc\r\n0\r\n\r\n'
    )
    assert_that(received.count(b'HTTP/1.1 200 OK'), Equals(2))
    bodies = [request.body for request in caller.request_guard.requests]
    assert_that(bodies, Equals([b'', b'abc']))


async def test_internal_error_is_reported_as_unknown(
    caller: Caller,
) -> None:
    """Bytes may have gone to a server before the error."""
    caller.request_guard.outcome = RuntimeError('a fault')
    received = await caller.send(GET + b'Connection: close' + END)
    assert_that(received, StartsWith(b'HTTP/1.1 502 '))
    assert_that(received, Contains(b'unknown; reason=internal-error'))


async def test_disconnect_of_caller_cancels_its_request(
    caller: Caller,
) -> None:
    """A response that nobody will read is not waited for."""
    caller.request_guard.may_respond.clear()
    _, writer = await caller.open()
    writer.write(GET + b'\r\n')
    await wait_for_requests(caller, 1)
    writer.close()
    async with asyncio.timeout(TIMEOUT_S):
        await caller.request_guard.cancelled.wait()
