"""Tests of hosts that break off, or repeat, an answer that they relay.

Guard against callers that get a part of it, or the answer to another request,
and against a request that is sent again though it has run.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from collections import Counter
from socket import SO_LINGER
from socket import SOL_SOCKET
from struct import pack
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.host.host import Host
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.partition import Partition
from cowslipmill.host.tests.test_partition import partition
from cowslipmill.host.tests.test_relays import call
from cowslipmill.host.tests.test_relays import isolate
from cowslipmill.host.tests.test_relays import other_than_coordinator
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.framequeue import FrameQueue
from cowslipmill.peers.measuredconnection import received_on
from cowslipmill.relays.messages import RelayRequest
from cowslipmill.relays.messages import RelayResponse

__all__ = ('partition',)

BODY_BYTES = 1_500_000
# How much of an answer has come when the link breaks.
PART_BYTES = 200_000


def received_bytes(host: Host) -> int:
    """Returns how much of a message a host has got from another one."""
    return max(
        (
            received_on(link.connection).holding.size
            for link in host.rpc.links.links.values()
            if link.connection is not None
        ),
        default=0,
    )


def reset_links(host: Host) -> None:
    """Ends a host's connections, with what the system has yet to send."""
    for connection in host.rpc.server.connections:
        sock = connection.transport.get_extra_info('socket')
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
    host.rpc.abort()


@pytest.mark.parametrize('dies', [False, True])
async def test_a_relayed_answer_that_breaks_off_is_told_as_unknown(
    large_fleet: Fleet, partition: Partition, dies: bool
) -> None:
    """The link breaks, or the host that relays dies; it isn't sent twice."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    asked: Counter[str] = Counter()

    async def respond(message: RelayRequest, sender: str) -> RelayResponse:
        asked[message.request_id] += 1
        name = message.request_id.encode()
        headers = (
            (b'x-request-id', name),
            (b'x-response-signature', name),
        )
        return RelayResponse(200, headers, b'x' * BODY_BYTES)

    others = [host for host in large_fleet.hosts if host is not cut]
    for host in others:
        host.rpc.register(RelayRequest, respond)
    request = create_task(call(large_fleet, cut, '/book/large'))
    while not request.done() and received_bytes(cut) < PART_BYTES:
        await sleep(0)
    assert_that(request.done(), Equals(False))
    if dies:
        for host in others:
            reset_links(host)
    else:
        cut.rpc.links.abort()
    response = await request
    assert_that((response.status, len(response.body)), Equals((502, 0)))
    assert_that(list(asked.values()), Equals([1]))


@pytest.mark.parametrize('status', [0, 103, 199, 600, 999])
async def test_a_relayed_answer_with_an_invalid_status_is_told_as_unknown(
    large_fleet: Fleet, partition: Partition, status: int
) -> None:
    """A host of an older build hands on what its server sent."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    asked: Counter[str] = Counter()

    async def respond(message: RelayRequest, sender: str) -> RelayResponse:
        asked[message.request_id] += 1
        name = message.request_id.encode()
        headers = (
            (b'x-request-id', name),
            (b'x-response-signature', name + b'.ok'),
        )
        return RelayResponse(status, headers, b'body')

    for host in large_fleet.hosts:
        if host is not cut:
            host.rpc.register(RelayRequest, respond)
    response = await call(large_fleet, cut, '/book/odd')
    assert_that((response.status, response.body), Equals((502, b'')))
    assert_that(list(asked.values()), Equals([1]))


@pytest.mark.parametrize('before', [False, True])
async def test_a_relayed_answer_that_comes_again_is_no_other_answer(
    large_fleet: Fleet, partition: Partition, before: bool
) -> None:
    """Right after itself, or right before the answer to the next request."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    for host in large_fleet.hosts:
        if host is not cut:
            repeat_replies(host, before=before)
    for number in range(5):
        responses = await gather(
            *(call(large_fleet, cut, f'/book/{number}-{n}') for n in range(4))
        )
        for response in responses:
            assert_that(response.status, Equals(200))
            own = response.header(b'x-request-id')
            assert_that(response.body.split()[1], Equals(own))
    runs = Counter(
        run.request_id
        for b in large_fleet.backends.values()
        for run in b.runs
        if run.method == 'POST'
    )
    assert_that(max(runs.values()), Equals(1))


def repeat_replies(host: Host, *, before: bool) -> None:
    """Has a host send its replies to other hosts twice.

    Args:
        host: The host.
        before: Whether a reply comes again right before the next one; else
            it comes twice in a row.
    """
    server = host.rpc.server
    original = server.reply_to_call
    last: dict[FrameQueue, bytes] = {}

    async def reply(
        frame: Frame[Any], peer_name: str, replies: FrameQueue
    ) -> None:
        if before and replies in last:
            replies.put(last[replies])
        await original(frame, peer_name, replies)
        raw = server.codec.encode(
            Frame(
                FrameKind.REPLY,
                frame.call_id,
                RelayResponse(
                    200, ((b'x-response-signature', b'any'),), b'of another'
                ),
            )
        )
        last[replies] = raw
        if not before:
            replies.put(raw)

    server.reply_to_call = reply  # type: ignore[method-assign]
