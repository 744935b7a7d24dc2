"""Tests of hosts that get malformed messages or fail unexpectedly.

Guard against one message or error ending the process, or each host that the
message reaches.
"""

from asyncio import CancelledError
from asyncio import sleep
from typing import Any

from cbor2 import dumps
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.forwarding.attempts import Attempts
from cowslipmill.forwarding.directsender import DirectSender
from cowslipmill.forwarding.forwarder import Forwarder
from cowslipmill.forwarding.sender import Sender
from cowslipmill.host.host import Host
from cowslipmill.host.requestlog import RequestLog
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_server_entry
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.http1.pool import ConnectionPool
from cowslipmill.leasing.coordinator import Coordinator
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.peers.link import Link
from cowslipmill.platform.headercodec import PlatformHeaderCodec
from cowslipmill.runtime.backgrounderrors import BACKGROUND_ERRORS
from cowslipmill.view.reader import StoreReader
from cowslipmill.view.view import View

BAD_ADDRESSES = [
    ('127.0.0.1', 70_000),
    ('127.0.0.1', -1),
    ('127.0.0.1\0', 80),
    ('[', 80),
    ('a' * 70 + '.example', 80),
    ('', 80),
]


def crashed(fleet: Fleet) -> list[bool]:
    return [host.crashed for host in fleet.hosts]


def error_count(work: str) -> float:
    count: float = BACKGROUND_ERRORS.labels(work)._value.get()
    return count


@pytest.mark.parametrize('address', BAD_ADDRESSES)
async def test_a_host_with_a_malformed_address_ends_no_other(
    large_fleet: Fleet, address: tuple[str, int]
) -> None:
    """All hosts hear of it and would greet it."""
    member: Any = ['odd', 'domain-a', list(address), 1]
    sender, receiver = large_fleet.hosts[:2]
    raw = dumps([0, 0, ['members', [member], False]])
    host, port = receiver.settings.peer_listen
    sender.rpc.links.send_raw(f'{host}:{port}', raw)
    await sleep(2.5)
    assert_that(crashed(large_fleet), Equals([False] * 4))
    response = await large_fleet.send_request('/read/1', host=1)
    assert_that(response.status, Equals(200))


@pytest.mark.parametrize('address', ['127.0.0.1:70000', '127.0.0.1:\u00b2'])
async def test_a_server_with_a_malformed_address_ends_no_host(
    large_fleet: Fleet, address: str
) -> None:
    """Its entry is left out, and later ones are still read."""
    fleet = large_fleet
    entry = make_server_entry(fleet.backends['one'], Address=address)
    fleet.store.put('servers/odd', entry)
    await sleep(1.0)
    fleet.store.put('op/config', make_test_configuration(9))
    await fleet.wait_until(
        lambda: all(host.view.version == 9 for host in fleet.hosts)
    )
    assert_that(crashed(fleet), Equals([False] * 4))


@pytest.mark.parametrize(
    ('owner', 'method', 'work'),
    [
        (StoreReader, 'read', 'store read'),
        (Gossip, 'publish', 'store update'),
        (ConnectionPool, 'close_expired', 'housekeeping'),
        (MemberList, 'digest', 'comparison'),
        (Link, 'connect_once', 'peer link'),
        (View, 'merge', 'snapshot'),
    ],
)
async def test_an_unexpected_error_ends_no_host(
    large_fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
    work: str,
) -> None:
    """What failed is tried again, and the host goes on as before."""
    fleet = large_fleet
    before = error_count(work)

    def fail(*arguments: Any, **options: Any) -> None:
        raise RuntimeError('unexpected')

    with monkeypatch.context() as patch:
        patch.setattr(owner, method, fail)
        await lose_update_and_links(fleet.hosts[1])
        await sleep(1.0)
    assert_that(error_count(work), GreaterThan(before))
    assert_that(crashed(fleet), Equals([False] * 4))
    fleet.store.put('op/config', make_test_configuration(9))
    await fleet.wait_until(
        lambda: all(host.view.version == 9 for host in fleet.hosts)
    )


async def lose_update_and_links(host: Host) -> None:
    """Has a host ask another one for its view and open its links anew."""
    peer = next(iter(host.member_list.other_members()))
    host.gossip.request_snapshot(peer.address)
    await sleep(0.5)
    host.rpc.abort()


STEPS_BEFORE_SENDING: list[tuple[type, str]] = [
    (PlatformHeaderCodec, 'parse_caller_headers'),
    (Forwarder, 'create_context'),
    (LeaseManager, 'acquire'),
    (Coordinator, 'acquire'),
    (Forwarder, 'may_send'),
    (RequestLog, 'placed'),
    (DirectSender, 'connect'),
]
STEPS_AFTER_SENDING: list[tuple[type, str]] = [
    (PlatformHeaderCodec, 'server_request'),
    (DirectSender, 'exchange'),
    (DirectSender, 'classify'),
    (Sender, 'release'),
    (Attempts, 'after_response'),
    (RequestLog, 'answered'),
    (PlatformHeaderCodec, 'caller_response'),
]


@pytest.mark.parametrize('target', ['/read/1', '/book/1'])
@pytest.mark.parametrize('error', [RuntimeError, CancelledError])
@pytest.mark.parametrize(
    ('owner', 'method'), STEPS_BEFORE_SENDING + STEPS_AFTER_SENDING
)
async def test_an_error_at_any_step_of_a_request_is_answered(
    fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
    error: type[BaseException],
    target: str,
) -> None:
    """It is told as not run only if no server got it."""

    def fail(*arguments: Any, **options: Any) -> None:
        raise error('unexpected')

    with monkeypatch.context() as patch:
        patch.setattr(owner, method, fail)
        response = await fleet.send_request(target)
    request_id = b'q%d' % fleet.last_request_number
    assert_that(response.header(b'x-request-id'), Equals(request_id))
    statuses = {502}
    if (owner, method) in STEPS_BEFORE_SENDING and error is CancelledError:
        assert_that(fleet.execution_count(), Equals(0))
        statuses.add(503)
    assert_that(statuses, Contains(response.status))
    response = await fleet.send_request(target)
    assert_that(response.status, Equals(200))
