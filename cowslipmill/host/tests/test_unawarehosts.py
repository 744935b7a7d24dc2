"""Tests of evacuations that some hosts don't know of.

Guard against hosts that are of an older build, or behind, sending requests of
others into an evacuated failure domain, or keeping others from knowing of it.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from typing import Any

from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from cowslipmill.fleet.messages import AskSnapshot
from cowslipmill.fleet.messages import BroadcastMessage
from cowslipmill.fleet.messages import News
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.forwarding.sendresult import NotSent
from cowslipmill.host.host import Host
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.partition import Partition
from cowslipmill.host.tests.test_evacuation import count_arrivals
from cowslipmill.host.tests.test_evacuation import domains
from cowslipmill.host.tests.test_evacuation import EVACUATED
from cowslipmill.host.tests.test_evacuation import evacuated_servers
from cowslipmill.host.tests.test_evacuation import know
from cowslipmill.host.tests.test_evacuation import record_releases
from cowslipmill.host.tests.test_evacuation import tell
from cowslipmill.host.tests.test_leases import make_context
from cowslipmill.host.tests.test_partition import coordinator
from cowslipmill.host.tests.test_partition import count_served
from cowslipmill.host.tests.test_partition import partition
from cowslipmill.host.tests.test_partition import send_requests
from cowslipmill.host.tests.test_relays import isolate
from cowslipmill.host.tests.test_relays import other_than_coordinator
from cowslipmill.leasing.leaserequest import EVACUATED as EVACUATED_REASON
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.relays.messages import AskRelay
from cowslipmill.view.evacuations import Evacuations
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.view import Snapshot

__all__ = ('domains', 'partition')

# Time from the store's confirmation by which hosts stop sending.
EVACUATE_S = 5.0
# Time in which hosts that are in contact learn of a change.
NOTICE_S = 0.5


@pytest.mark.parametrize('knows', ['all', 'relaying'])
async def test_no_request_is_relayed_into_an_evacuated_domain(
    large_fleet: Fleet, partition: Partition, knows: str
) -> None:
    """Also if only the relaying hosts know of the evacuation."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    if knows == 'relaying':
        become_older_build(cut)
    large_fleet.store.evacuate(EVACUATED)
    others = [host for host in large_fleet.hosts if host is not cut]
    await large_fleet.wait_until(lambda: know(others, EVACUATED))
    await sleep(NOTICE_S)
    runs = sum(len(b.runs) for b in evacuated_servers(large_fleet))
    responses = await send_requests(large_fleet, [cut], 20)
    assert_that(count_served(responses), Equals(20))
    after = sum(len(b.runs) for b in evacuated_servers(large_fleet))
    assert_that(after, Equals(runs))


async def test_a_relaying_host_says_that_the_domain_is_evacuated(
    large_fleet: Fleet,
    partition: Partition,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Other hosts are not asked then, and the lease is not used."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    manager = cut.lease_manager
    context = make_context(cut, '/book/1')
    requirements = cut.forwarder.requirements(context, None)
    grant = await manager.acquire(requirements)
    assert isinstance(grant, Grant)
    become_older_build(cut)
    large_fleet.store.evacuate(EVACUATED)
    others = [host for host in large_fleet.hosts if host is not cut]
    await large_fleet.wait_until(lambda: know(others, EVACUATED))
    asked: list[object] = []
    call = Rpc.call

    async def call_and_count(rpc: Rpc, *arguments: Any) -> Any:
        """Counts what the host asks of others."""
        if rpc is cut.rpc and isinstance(arguments[1], AskRelay):
            asked.append(arguments[0])
        return await call(rpc, *arguments)

    monkeypatch.setattr(Rpc, 'call', call_and_count)
    results = record_releases(monkeypatch)
    result = await cut.sender.send(context, grant)
    expected = NotSent(grant.server, EVACUATED_REASON, evacuated=True)
    assert_that(result, Equals(expected))
    assert_that(results, Equals([(grant.server, LeaseResult.UNUSED)]))
    assert_that(len(asked), Equals(1))
    assert_that(context.attempts.sends, Equals(0))


class NoEvacuations(Evacuations):
    """The evacuations of a host that ignores them."""

    def apply(self, change: EvacuationChanged) -> bool:
        """Ignores a change."""
        return False


def without_evacuations(message: Any) -> Any:
    """Returns a message as a host of the previous build sends it on."""
    if isinstance(message, News | Snapshot):
        return replace(message, evacuations=(), evacuations_until=0)
    return message


def become_older_build(host: Host) -> None:
    """Has a host ignore evacuations and leave them out of its messages.

    It gives up on a refusal that it doesn't know.
    """
    gossip: Any = host.gossip
    manager: Any = host.lease_manager
    broadcast = gossip.broadcast
    broadcast_in_domain = gossip.broadcast_in_domain

    async def on_ask_snapshot(message: AskSnapshot, sender: str) -> Snapshot:
        """Replies without evacuations."""
        reply = await gossip.on_ask_snapshot(message, sender)
        stripped: Snapshot = without_evacuations(reply)
        return stripped

    async def acquire(requirements: Requirements) -> Grant | Refusal:
        """Requests a lease, once, in the first failure domain."""
        key = (host.settings.name, next(manager.request_numbers))
        domain = manager.choose_domain(requirements.service)
        reply: Grant | Refusal
        reply = await manager.acquire_in_domain(key, requirements, domain)
        return reply

    def send(message: BroadcastMessage) -> None:
        """Broadcasts a message without evacuations."""
        broadcast(without_evacuations(message))

    def send_in_domain(message: BroadcastMessage) -> None:
        """Passes a message on without evacuations."""
        broadcast_in_domain(without_evacuations(message))

    host.view.evacuations = NoEvacuations()
    host.view.evacuations.known_until = host.view.revision
    manager.acquire = acquire
    gossip.broadcast = send
    gossip.broadcast_in_domain = send_in_domain
    host.rpc.register(AskSnapshot, on_ask_snapshot)


@pytest.mark.parametrize('count', [1, 2, 3])
async def test_a_host_learns_of_evacuations_beside_an_older_build(
    domains: Fleet, count: int
) -> None:
    """Hosts of it read the store and pass updates on without them."""
    readers = sorted(domains.hosts, key=lambda host: host.reader_rank())
    for host in readers[:count]:
        become_older_build(host)
    newer = readers[count:]
    written_at = get_running_loop().time()
    domains.store.evacuate(EVACUATED)
    await domains.wait_until(lambda: know(newer, EVACUATED))
    took_s = get_running_loop().time() - written_at
    assert_that(took_s, LessThan(EVACUATE_S))
    # Updates without evacuations undo nothing.
    for number in range(8):
        domains.store.put('servers/other', {'number': number})
        await sleep(0.25)
        assert_that(know(newer, EVACUATED), Equals(True))
    domains.store.end_evacuation(EVACUATED)
    await domains.wait_until(lambda: know(newer))


async def test_a_host_that_does_not_know_yet_is_served_elsewhere(
    domains: Fleet,
) -> None:
    """Its requests would be refused although servers elsewhere are free."""
    host = other_than_coordinator(domains)
    become_older_build(host)
    domains.store.evacuate(EVACUATED)
    others = [other for other in domains.hosts if other is not host]
    await domains.wait_until(lambda: know(others, EVACUATED))
    arrived = count_arrivals(domains)
    responses = await send_requests(domains, [host], 20)
    assert_that(count_served(responses), Equals(20))
    assert_that(count_arrivals(domains), Equals(arrived))


async def test_a_request_leaves_a_coordinator_that_does_not_know(
    domains: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It would wait there for a server that its host doesn't use."""
    leader = coordinator(domains)
    host = other_than_coordinator(domains)
    index = domains.hosts.index(host)
    become_older_build(leader)

    async def acquire_none(request: Any, max_duration_s: float) -> None:
        """Finds no server in other domains."""

    monkeypatch.setattr(
        leader.lease_manager, 'acquire_from_others', acquire_none
    )
    for backend in evacuated_servers(domains):
        backend.work_s = 0.6
    blocking = [
        create_task(domains.send_request(f'/book/{n}', host=index))
        for n in range(4)
    ]
    await sleep(0.1)
    queued = create_task(domains.send_request('/read/1', host=index))
    await sleep(0.05)
    assert_that(queued.done(), Equals(False))
    known_at = get_running_loop().time()
    tell([host], EvacuationChanged(EVACUATED, domains.store.revision, True))
    response = await queued
    took_s = get_running_loop().time() - known_at
    assert_that(response.status, Equals(200))
    assert_that(took_s, LessThan(0.2))
    assert_that(count_served(await gather(*blocking)), Equals(4))
