"""Tests of servers whose answers don't tell, or not once, where they end.

Guard against callers that get a part of an answer, or more than it, as a
whole one, and against a host that such an answer ends.
"""

from asyncio import get_running_loop
from asyncio import sleep

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import WAIT_S
from cowslipmill.host.tests.partition import Partition
from cowslipmill.host.tests.test_partition import partition
from cowslipmill.host.tests.test_relays import isolate
from cowslipmill.host.tests.test_relays import other_than_coordinator
from cowslipmill.http1.message import Response
from cowslipmill.standin.backend import Ending
from cowslipmill.standin.backend import RawAnswer

__all__ = ('partition',)

BODY = b'the whole body'
OWN = b'x-request-id: <id>\r\nx-response-signature: <id>.ok\r\n'
HEAD = b'HTTP/1.1 200 OK\r\n' + OWN
OLD_HEAD = b'HTTP/1.0 200 OK\r\n' + OWN
LENGTH = b'content-length: 14\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n'
CHUNK = b'e\r\n' + BODY + b'\r\n'
LAST_CHUNK = b'0\r\n\r\n'
UPGRADE = (
    b'HTTP/1.1 101 Switching Protocols\r\n'
    + OWN
    + b'connection: upgrade\r\nupgrade: other\r\n'
)

# No part of these may be told as a success.
BROKEN = {
    'two lengths': HEAD + LENGTH + b'content-length: 20\r\n\r\n' + BODY,
    'a longer length first': HEAD
    + b'content-length: 20\r\n'
    + LENGTH
    + b'\r\n'
    + BODY,
    'a negative length': HEAD + b'content-length: -14\r\n\r\n' + BODY,
    'a length in words': HEAD + b'content-length: all\r\n\r\n' + BODY,
    'a length of 40 digits': HEAD
    + b'content-length: %b\r\n\r\n' % (b'9' * 40)
    + BODY,
    'a length beyond the body': HEAD + b'content-length: 15\r\n\r\n' + BODY,
    'an old version with a length': OLD_HEAD
    + b'content-length: 15\r\n\r\n'
    + BODY,
    'an unknown coding': HEAD + b'transfer-encoding: gzip\r\n\r\n' + BODY,
    'no last chunk': HEAD + CHUNKED + b'\r\n' + CHUNK,
    'a cut size of the last chunk': HEAD + CHUNKED + b'\r\n' + CHUNK + b'0',
    'a cut last chunk': HEAD + CHUNKED + b'\r\n' + CHUNK + b'0\r\n',
    'a cut end': HEAD + CHUNKED + b'\r\n' + CHUNK + b'0\r\n\r',
    'a cut trailer': HEAD + CHUNKED + b'\r\n' + CHUNK + b'0\r\nx-a: b',
    'no end after a trailer': HEAD
    + CHUNKED
    + b'\r\n'
    + CHUNK
    + b'0\r\nx-a: b\r\n',
    'a chunk shorter than its size': HEAD + CHUNKED + b'\r\nf\r\n' + BODY,
    'a chunk longer than its size': HEAD
    + CHUNKED
    + b'\r\n3\r\n'
    + BODY
    + b'\r\n'
    + LAST_CHUNK,
    'a size in words': HEAD + CHUNKED + b'\r\nall\r\n' + BODY,
    'a size of 40 digits': HEAD + CHUNKED + b'\r\n%b\r\n' % (b'f' * 40) + BODY,
    'a switch of protocols': UPGRADE + b'\r\n' + BODY,
    'a switch with a length': UPGRADE + LENGTH + b'\r\n' + BODY,
    'a switch of an old version': UPGRADE.replace(b'1.1', b'1.0') + b'\r\n',
    'an interim answer': b'HTTP/1.1 103 Hints\r\n' + OWN + b'\r\n',
    'interim answers with a length': (
        b'HTTP/1.1 100 Continue\r\n' + OWN + LENGTH + b'\r\n'
    )
    * 2,
    'a status below 100': HEAD.replace(b'200', b'099')
    + LENGTH
    + b'\r\n'
    + BODY,
    'a status of 600': HEAD.replace(b'200', b'600') + LENGTH + b'\r\n' + BODY,
    'a status of 999': HEAD.replace(b'200', b'999') + LENGTH + b'\r\n' + BODY,
    'no status': HEAD.replace(b' 200 OK', b'') + LENGTH + b'\r\n' + BODY,
    'no answer': BODY + b'\r\n\r\n',
    'a zero in a header': HEAD + b'x-a: \x00\r\n' + LENGTH + b'\r\n' + BODY,
    'no colon': HEAD + b'x-a\r\n' + LENGTH + b'\r\n' + BODY,
}
# These may be told as a success with the whole body, or not at all.
ODD = {
    'one length twice': HEAD + LENGTH + LENGTH + b'\r\n' + BODY,
    'a list of lengths': HEAD + b'content-length: 14, 14\r\n\r\n' + BODY,
    'a signed length': HEAD + b'content-length: +14\r\n\r\n' + BODY,
    'a folded header': HEAD + b'x-a: b\r\n c\r\n' + LENGTH + b'\r\n' + BODY,
    'a folded length': HEAD + b'content-length: 1\r\n 4\r\n\r\n' + BODY,
    'a blank before the colon': HEAD + b'content-length : 14\r\n\r\n' + BODY,
    'line feeds alone': (HEAD + LENGTH + b'\r\n').replace(b'\r', b'') + BODY,
    'a length and chunks': HEAD
    + LENGTH
    + CHUNKED
    + b'\r\n'
    + CHUNK
    + LAST_CHUNK,
    'chunks and a length': HEAD
    + CHUNKED
    + b'content-length: 3\r\n\r\n'
    + CHUNK
    + LAST_CHUNK,
    'chunks twice': HEAD + CHUNKED + CHUNKED + b'\r\n' + CHUNK + LAST_CHUNK,
    'chunks of an old version': OLD_HEAD
    + CHUNKED
    + b'\r\n'
    + CHUNK
    + LAST_CHUNK,
    'a chunk with an extension': HEAD
    + CHUNKED
    + b'\r\ne;a=b\r\n'
    + BODY
    + b'\r\n'
    + LAST_CHUNK,
    'a trailer with a length': HEAD
    + CHUNKED
    + b'\r\n'
    + CHUNK
    + b'0\r\ncontent-length: 3\r\n\r\n',
    'bytes after the body': HEAD + LENGTH + b'\r\n' + BODY + b'more',
    'another answer after it': (HEAD + LENGTH + b'\r\n' + BODY) * 2,
    'a switch, then an answer': UPGRADE
    + b'\r\n'
    + HEAD
    + LENGTH
    + b'\r\n'
    + BODY,
    'an interim answer before it': b'HTTP/1.1 103 Hints\r\n'
    + OWN
    + b'\r\n'
    + HEAD
    + LENGTH
    + b'\r\n'
    + BODY,
    'an upgrade offered': HEAD
    + b'connection: upgrade\r\nupgrade: other\r\n'
    + LENGTH
    + b'\r\n'
    + BODY,
    'another version': HEAD.replace(b'1.1', b'3.7') + LENGTH + b'\r\n' + BODY,
}
# The end of the connection is the end of these, unless it is a reset.
UNFRAMED = {
    'no length': HEAD + b'\r\n' + BODY,
    'no length of an old version': OLD_HEAD + b'\r\n' + BODY,
    'a length of nothing': HEAD + b'connection: close\r\n\r\n' + BODY,
}
# What a host tells of a request that may have run.
UNKNOWN = {502, 504}
DEADLINE_MS = 400
PLACES = ('book', 'read', 'hedge')


def set_answers(fleet: Fleet, raw: RawAnswer | None) -> None:
    """Sets what all servers send in place of their answers."""
    for backend in fleet.backends.values():
        backend.raw_answer = raw


async def wait_until_served(fleet: Fleet, host: int) -> None:
    """Sends requests until a host serves one.

    Raises:
        AssertionError: If it serves none in time.
    """
    deadline = get_running_loop().time() + WAIT_S
    while (await fleet.send_request('/read/calm', host=host)).status != 200:
        assert get_running_loop().time() < deadline, 'no request was served'
        await sleep(0.05)


async def play(
    fleet: Fleet, kind: str, raw: RawAnswer, label: str, host: int = 0
) -> list[Response]:
    """Has servers send bytes for answers; returns what callers got of them."""
    runs_before = fleet.execution_count()
    responses: list[Response] = []
    set_answers(fleet, raw)
    deadline = get_running_loop().time() + WAIT_S
    # A host avoids servers whose answers can't be read for a while.
    while fleet.execution_count() == runs_before:
        assert get_running_loop().time() < deadline, f'{label}: none ran'
        target = f'/{kind}/{len(responses)}-{fleet.last_request_number}'
        responses.append(
            await fleet.send_request(
                target, host=host, deadline_ms=DEADLINE_MS
            )
        )
        await sleep(0.05)
    set_answers(fleet, None)
    works_s = [backend.work_s for backend in fleet.backends.values()]
    for backend in fleet.backends.values():
        backend.work_s = 0.02
    await wait_until_served(fleet, host)
    for backend, work_s in zip(fleet.backends.values(), works_s, strict=True):
        backend.work_s = work_s
    ran = {run.request_id for b in fleet.backends.values() for run in b.runs}
    return [
        response
        for response in responses
        if response.header(b'x-request-id').decode() in ran
    ]


async def check(fleet: Fleet, kind: str, ending: Ending, host: int = 0) -> int:
    """Checks what callers get of every answer.

    Returns:
        How many answers were told as a success.
    """
    wrong: list[tuple[str, int]] = []
    successes = 0
    contents = BROKEN | ODD | UNFRAMED
    for name, content in contents.items():
        raw = RawAnswer(content, ending)
        may_succeed = name in ODD
        if name in UNFRAMED:
            may_succeed = ending is Ending.CLOSES
        for response in await play(fleet, kind, raw, name, host):
            whole = response.status == 200 and response.body == BODY
            successes += whole
            if whole and may_succeed:
                continue
            if response.status not in UNKNOWN:
                wrong.append((name, response.status))
    assert_that(wrong, Equals([]))
    for host_ in fleet.hosts:
        assert_that(host_.should_stop or host_.crashed, Equals(False))
    return successes


@pytest.mark.parametrize('ending', list(Ending))
@pytest.mark.parametrize('place', PLACES)
async def test_no_answer_with_broken_framing_is_told_as_whole(
    fleet: Fleet, place: str, ending: Ending
) -> None:
    """At the first send, a retry, and a hedge of a slow server."""
    if place == 'hedge':
        for backend in fleet.backends.values():
            backend.work_s = 0.25
    kind = 'book' if place == 'book' else 'read'
    successes = await check(fleet, kind, ending)
    assert_that(successes, GreaterThan(0))


@pytest.mark.parametrize('ending', list(Ending))
async def test_no_relayed_answer_with_broken_framing_is_told_as_whole(
    large_fleet: Fleet, partition: Partition, ending: Ending
) -> None:
    """Over the connections of the host that relays."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    host = large_fleet.hosts.index(cut)
    successes = await check(large_fleet, 'book', ending, host)
    assert_that(successes, GreaterThan(0))


@pytest.mark.parametrize('ending', list(Ending))
async def test_a_whole_answer_counts_beside_one_with_broken_framing(
    fleet: Fleet, ending: Ending
) -> None:
    """A slow server's answer is taken if that to the hedge can't be read."""
    one, two = fleet.backends.values()
    served = 0
    for content in BROKEN.values():
        one.work_s, two.work_s = 0.3, 0.02
        one.raw_answer, two.raw_answer = None, RawAnswer(content, ending)
        response = await fleet.send_request(f'/read/{served}')
        served += response.status == 200
        if response.status == 200:
            own = response.header(b'x-request-id')
            assert_that(response.body, Equals(b'one ' + own))
        one.work_s = 0.02
        two.raw_answer = None
        await wait_until_served(fleet, 0)
    assert_that(served, GreaterThan(len(BROKEN) // 2))


@pytest.mark.parametrize(
    'name', [name for name in BROKEN if name.startswith(('a switch', 'no '))]
)
async def test_an_answer_that_can_not_be_read_is_no_crash(
    fleet: Fleet, name: str
) -> None:
    """The same request may come again, and servers are used as before."""
    set_answers(fleet, RawAnswer(BROKEN[name], Ending.STAYS))
    statuses = set()
    for _ in range(8):
        response = await fleet.send_request(
            '/read/same', deadline_ms=DEADLINE_MS
        )
        statuses.add(response.status)
        await sleep(0.6)
    assert_that(statuses - UNKNOWN, Equals(set()))
    set_answers(fleet, None)
    response = await fleet.send_request('/read/same')
    assert_that(response.status, Equals(200))


@pytest.mark.parametrize('ending', list(Ending))
async def test_health_answers_with_broken_framing_end_no_host(
    fleet: Fleet, ending: Ending
) -> None:
    """Other servers are used meanwhile, and the server itself afterwards."""
    one, two = fleet.backends.values()
    for content in (BROKEN | ODD | UNFRAMED).values():
        health = content.replace(OWN, b'x-instance-id: one\r\n')
        one.raw_health = RawAnswer(health, ending)
        asked = one.health_asked
        for number in range(3):
            response = await fleet.send_request(f'/book/{number}')
            assert_that(response.status, Equals(200))
        assert_that(one.health_asked, GreaterThan(asked - 1))
    one.raw_health = None
    two.stop()
    await wait_until_served(fleet, 0)
    (host,) = fleet.hosts
    assert_that(host.should_stop or host.crashed, Equals(False))
