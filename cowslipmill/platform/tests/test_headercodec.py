"""Headers of callers and servers."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.platform.headercodec import MAX_PAUSE_S
from cowslipmill.platform.headercodec import PlatformHeaderCodec
from cowslipmill.platform.load import read_load
from cowslipmill.platform.serverentry import MAX_WARM_UP_MS
from cowslipmill.view.tests.conftest import make_record

SIGNED = [(b'x-response-signature', b'1.2')]
NOT_EXECUTED = [(b'x-not-executed', b'1')]
HEADER_CODEC = PlatformHeaderCodec()


@pytest.mark.parametrize(
    ('status', 'headers', 'response_class'),
    [
        (200, SIGNED, ResponseClass.SUCCESS),
        (200, [], ResponseClass.UNVERIFIED),
        (
            200,
            [*SIGNED, (b'content-encoding', b'gzip')],
            ResponseClass.UNVERIFIED,
        ),
        (500, SIGNED, ResponseClass.FAILURE),
        (503, NOT_EXECUTED, ResponseClass.SHED),
        (500, [], ResponseClass.UNVERIFIED),
        (404, [], ResponseClass.UNVERIFIED),
        (503, [], ResponseClass.UNVERIFIED),
        (503, SIGNED, ResponseClass.UNVERIFIED),
        (429, SIGNED, ResponseClass.UNVERIFIED),
        (429, NOT_EXECUTED, ResponseClass.SHED),
        (400, NOT_EXECUTED, ResponseClass.NOT_ACCEPTED),
        (421, [], ResponseClass.WRONG_SERVER),
    ],
)
def test_a_response_is_verified_only_by_headers_of_the_server(
    status: int,
    headers: list[tuple[bytes, bytes]],
    response_class: ResponseClass,
) -> None:
    response = Response(status, headers, b'')
    assert_that(HEADER_CODEC.classify(response), Equals(response_class))


def test_a_request_to_a_server_has_its_name_and_the_remaining_time() -> None:
    headers = [
        (b'host', b'one'),
        (b'connection', b'keep-alive, x-hop'),
        (b'x-hop', b'1'),
        (b'x-deadline-ms', b'4000'),
        (b'x-request-id', b'r1'),
        (b'x-own', b'kept'),
    ]
    request = Request(b'GET', b'/a', headers, b'')
    sent = HEADER_CODEC.server_request(request, make_record(), 1.2345)
    assert_that(
        sent.headers,
        Equals(
            [
                (b'host', b'one'),
                (b'x-request-id', b'r1'),
                (b'x-own', b'kept'),
                (b'x-deadline-ms', b'1234'),
                (b'x-expect-instance', b'server-1'),
            ]
        ),
    )


@pytest.mark.parametrize('text', [b'', b'soon', b'-5', b'1.5'])
def test_an_invalid_timeout_is_ignored(text: bytes) -> None:
    request = Request(b'GET', b'/', [(b'x-deadline-ms', text)], b'')
    assert_that(
        HEADER_CODEC.parse_caller_headers(request).timeout_s, Equals(None)
    )


def test_the_fourth_field_of_the_load_is_the_slowdown_in_percent() -> None:
    load = read_load(b'3,1,6,500')
    assert load is not None
    assert_that((load.running, load.waiting), Equals((3, 1)))
    assert_that((load.slots, load.slowdown), Equals((6, 5.0)))


@given(st.binary(max_size=20))
def test_any_bytes_are_parsed_as_a_load_or_none(text: bytes) -> None:
    load = read_load(text)
    assert load is None or load.slowdown > 0.0


def test_the_load_of_another_server_is_ignored() -> None:
    headers = [(b'x-instance-id', b'other'), (b'x-server-load', b'0,0,2')]
    response = Response(200, headers, b'')
    assert_that(
        HEADER_CODEC.decode_health(response, make_record()), Equals(None)
    )


# A Sunday of 1994, as HTTP writes dates, and ten seconds before.
DATE = 'Sun, 06 Nov 1994 08:49:37 GMT'
BEFORE_DATE_S = 784_111_767.0


@pytest.mark.parametrize(
    ('status', 'text', 'pause_s'),
    [
        (503, '2', 2.0),
        (503, ' 0.25 ', 0.25),
        (503, DATE, 10.0),
        (503, '9' * 400, MAX_PAUSE_S),
        (503, '0', None),
        (503, '-3', None),
        (503, 'Sun, 06 Nov 1983 08:49:37 GMT', None),
        (503, 'soon', None),
        (503, 'nan', None),
        (503, '', None),
        (200, '2', None),
        (429, '2', None),
    ],
)
def test_only_a_readable_time_with_503_is_a_pause(
    status: int, text: str, pause_s: float | None
) -> None:
    """Seconds or a date; one that is past or unreadable asks for nothing."""
    headers = [*NOT_EXECUTED, (b'retry-after', text.encode())]
    response = Response(status, headers, b'')
    found_s = HEADER_CODEC.pause_s(response, BEFORE_DATE_S)
    assert_that(found_s, Equals(pause_s))


@given(st.binary(max_size=40))
def test_no_retry_after_of_a_server_is_an_error(value: bytes) -> None:
    """Whatever bytes it holds."""
    response = Response(503, [(b'retry-after', value)], b'')
    pause_s = HEADER_CODEC.pause_s(response, BEFORE_DATE_S)
    assert pause_s is None or 0.0 < pause_s <= MAX_PAUSE_S


@pytest.mark.parametrize('text', [b'9' * 5_000, b'1' * 400, b'1' * 13])
def test_a_timeout_of_many_digits_is_ignored(text: bytes) -> None:
    """It must not fail the request."""
    request = Request(b'GET', b'/', [(b'x-deadline-ms', text)], b'')
    headers = PlatformHeaderCodec().parse_caller_headers(request)
    assert_that(headers.timeout_s, Equals(None))


@pytest.mark.parametrize(
    ('text', 'warm_up_s', 'lines'),
    [
        (b'2500', 2.5, 0),
        (b'0', 0.0, 0),
        (b'12.5', 0.0125, 0),
        (b'', 0.0, 0),
        (b'-1', 0.0, 1),
        (b'soon', 0.0, 1),
        (b'nan', 0.0, 1),
        (b'inf', 0.0, 1),
        (b'9' * 400, 0.0, 1),
    ],
)
def test_a_health_response_tells_how_long_a_server_stays_cold(
    caplog: pytest.LogCaptureFixture,
    text: bytes,
    warm_up_s: float,
    lines: int,
) -> None:
    """A value that can't be read must not lock a server, and is logged."""
    headers = [(b'x-server-load', b'0,0,2'), (b'x-warmup-ms', text)]
    load = HEADER_CODEC.decode_health(
        Response(200, headers, b''), make_record()
    )
    assert load is not None
    assert_that(load.warm_up_s, Equals(warm_up_s))
    messages = [record.getMessage() for record in caplog.records]
    assert_that(messages, Equals(['header not usable'] * lines))


@given(st.binary(max_size=40))
def test_no_warm_up_time_of_a_server_is_an_error(value: bytes) -> None:
    """An exception would end the probe and leave the server without load."""
    response = Response(200, [(b'x-warmup-ms', value)], b'')
    load = HEADER_CODEC.decode_health(response, make_record())
    assert load is not None
    assert 0.0 <= load.warm_up_s <= MAX_WARM_UP_MS / 1000
