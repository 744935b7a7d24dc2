"""Property test of a connection with sound requests and odd bytes.

Guard against anything that takes the answer of a request before it along, or
gives a request the answer of another one.
"""

from asyncio import run
from asyncio import sleep
from itertools import count

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.listenerstate import SLICE_BYTES
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.tests.test_chunkpacer import PausedSink
from cowslipmill.http1.tests.test_oddrequests import LIMITS
from cowslipmill.http1.tests.test_oddrequests import make_request
from cowslipmill.http1.tests.test_oddrequests import parse_answers

MAX_TURNS = 10_000
# Processor time of a slice, little enough that nothing pauses.
WORK_S = 1e-9
UPGRADE = b'connection: upgrade\r\nupgrade: h2c\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n'
CHUNKS = b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
# Fields and body of sound requests, and the body that they arrive with.
SOUND = [
    (b'', b'', b''),
    (b'content-length: 3\r\n', b'abc', b'abc'),
    (CHUNKED, CHUNKS, b'abc'),
    (UPGRADE, b'', b''),
    (UPGRADE + b'content-length: 3\r\n', b'abc', b'abc'),
    (UPGRADE + CHUNKED, CHUNKS, b'abc'),
    (b'expect: 100-continue\r\ncontent-length: 3\r\n', b'abc', b'abc'),
]
ODD = [
    b'CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n',
    b'CONNECT a:1 HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc',
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
    b'POST /odd HTTP/1.1\r\ncontent-length: -1\r\n\r\n',
    b'POST /odd HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n',
    b'POST /odd HTTP/1.1\r\ncontent-length: 1\r\n' + CHUNKED + b'\r\n',
    b'POST /odd HTTP/1.1\r\n' + CHUNKED + b'\r\nzz\r\n',
    b'POST /odd HTTP/1.1\r\n' + UPGRADE + b'content-length: 9999\r\n\r\n',
    b'POST /odd HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\n',
    b'GET /odd HTTP/1.1\r\nx: ' + b'y' * 3_000,
    b'GET /odd HTTP/1.1\r\nconnection: close\r\n\r\n',
    b'GET /odd HT',
    b'\r\n\r\n',
]


class Trial:
    """What one connection is sent, and what comes of it.

    Attributes:
        delays: Turns of the loop that the handler takes, in rotation.
        slice_bytes: Input that is parsed in one go, in bytes; one slice in
            each turn.
        overlaps: Whether requests are handled concurrently.
        handled: Target and body of each request that reached it.
    """

    def __init__(
        self,
        delays: list[int],
        slice_bytes: int = SLICE_BYTES,
        *,
        overlaps: bool = False,
    ) -> None:
        """Starts without a connection."""
        self.overlaps = overlaps
        self.delays = delays
        self.slice_bytes = slice_bytes
        self.handled: list[str] = []

    async def handle(self, request: Request, exchange: Exchange) -> Response:
        """Responds with the request's target and body."""
        body = request.target + b' ' + bytes(request.body)
        self.handled.append(('200 ' + body.decode('latin-1')).strip())
        for _ in range(self.delays[len(self.handled) % len(self.delays)]):
            await sleep(0)
        return Response(200, [], body)

    async def send(
        self, parts: list[bytes], pauses: list[int], *, stops: bool = False
    ) -> bytes:
        """Returns what the caller was sent in the end.

        Args:
            parts: What it sends.
            pauses: Turns of the loop after each part, in rotation.
            stops: Whether it ends its sending then, and the server stops.
        """
        ticks = count()
        server = CallerServer(
            self.handle,
            LIMITS,
            lambda: 0.0,
            may_overlap=lambda request: self.overlaps,
            work_clock=lambda: next(ticks) * WORK_S,
            slice_bytes=self.slice_bytes,
            turn_s=WORK_S,
        )
        sink = PausedSink(CallerConnection(server))
        for number, part in enumerate(parts):
            if part:
                sink.protocol.data_received(part)
            for _ in range(pauses[number % len(pauses)]):
                await sleep(0)
        if stops:
            server.closing = True
            server.end()
        for _ in range(MAX_TURNS):
            if not sink.protocol.owes_answer and not sink.protocol.rest:
                break
            await sleep(0)
        return bytes(sink.sent)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Returns data in parts, cut at places modulo its length."""
    ends = sorted({place % (len(data) + 1) for place in places})
    starts = [0, *ends]
    return [data[a:b] for a, b in zip(starts, [*ends, len(data)], strict=True)]


TURNS = st.lists(st.integers(0, 4), min_size=1, max_size=6)


def make_messages(
    kinds: list[tuple[bytes, bytes, bytes]],
) -> tuple[list[bytes], list[str]]:
    """Returns sound requests and the answers to them."""
    messages = []
    expected = []
    for number, (fields, sent, body) in enumerate(kinds):
        name = b'%d' % number
        messages.append(make_request(name, fields) + sent)
        answer = b'200 /%b %b' % (name, body)
        expected.append(answer.decode().strip())
    return messages, expected


@settings(max_examples=400, deadline=None)
@given(
    before=st.lists(st.sampled_from(SOUND), min_size=1, max_size=6),
    odd=st.one_of(st.sampled_from(ODD), st.binary(max_size=60)),
    after=st.lists(st.sampled_from(SOUND), max_size=3),
    places=st.lists(st.integers(0, 5_000), max_size=12),
    pauses=TURNS,
    delays=TURNS,
    slice_bytes=st.sampled_from([1, 7, 60, SLICE_BYTES]),
    overlaps=st.booleans(),
)
@example(SOUND[:1], ODD[0], [], [], [1], [4], SLICE_BYTES, False)
@example(SOUND[:1], b'', [SOUND[3]], [60], [1], [4], SLICE_BYTES, False)
@example(SOUND[:1], b'', SOUND[3:6], [60], [1], [4, 0], SLICE_BYTES, True)
def test_each_request_before_odd_bytes_gets_its_own_answer(
    before: list[tuple[bytes, bytes, bytes]],
    odd: bytes,
    after: list[tuple[bytes, bytes, bytes]],
    places: list[int],
    pauses: list[int],
    delays: list[int],
    slice_bytes: int,
    overlaps: bool,
) -> None:
    """All that were handled are answered, each once and in order."""
    messages, expected = make_messages([*before, *after])
    messages.insert(len(before), odd)
    trial = Trial(delays, slice_bytes, overlaps=overlaps)
    data = run(trial.send(cut(b''.join(messages), places), pauses))
    answers = [text for text in parse_answers(data) if text != '100']
    promised = expected[: len(before)]
    assert_that(answers[: len(before)], Equals(promised))
    served = [text for text in answers if text.startswith('200')]
    assert_that(served, Equals(trial.handled))
    assert_that(len(answers) - len(served) <= 1, Equals(True))


@settings(max_examples=200, deadline=None)
@given(
    kinds=st.lists(st.sampled_from(SOUND), min_size=1, max_size=30),
    places=st.lists(st.integers(0, 5_000), max_size=12),
    pauses=TURNS,
    delays=TURNS,
    slice_bytes=st.sampled_from([1, 7, 60, SLICE_BYTES]),
    overlaps=st.booleans(),
)
def test_all_that_arrived_before_a_stop_is_answered(
    kinds: list[tuple[bytes, bytes, bytes]],
    places: list[int],
    pauses: list[int],
    delays: list[int],
    slice_bytes: int,
    overlaps: bool,
) -> None:
    """Input that waits to be parsed counts as received."""
    messages, expected = make_messages(kinds)
    trial = Trial(delays, slice_bytes, overlaps=overlaps)
    parts = cut(b''.join(messages), places)
    data = run(trial.send(parts, pauses, stops=True))
    answers = [text for text in parse_answers(data) if text != '100']
    served = len(trial.handled)
    assert_that(answers[:served], Equals(expected[:served]))
    assert_that(answers[served:], Equals(['503'] * (len(kinds) - served)))
