"""Tests of requests that one host sends to a server for another one.

Guard against a promise to callers or servers that holds on a host's own links
and is broken by way of another host.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.fleet.rpc import Rpc
from cowslipmill.host.host import Host
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import HOST_HEADER
from cowslipmill.host.tests.partition import Cut
from cowslipmill.host.tests.partition import Partition
from cowslipmill.host.tests.test_partition import coordinator
from cowslipmill.host.tests.test_partition import count_served
from cowslipmill.host.tests.test_partition import partition
from cowslipmill.host.tests.test_partition import send_requests
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.requestreceiver import REQUEST_BYTES
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.relays import relayserver
from cowslipmill.relays.messages import AskRelay
from cowslipmill.relays.messages import RelayFailure
from cowslipmill.relays.messages import RelayRequest
from cowslipmill.relays.messages import RelayResponse

__all__ = ('partition',)

# Time in which a host notices that it reaches no server.
NOTICE_S = 1.0


async def isolate(
    fleet: Fleet, partition: Partition, hosts: list[Host]
) -> None:
    """Cuts hosts off from all servers and waits until they know."""
    addresses = [b.address for b in fleet.backends.values()]
    for host in hosts:
        await partition.cut(host, addresses, Cut.HANG)
    await send_requests(fleet, hosts, 30)
    await fleet.wait_until(lambda: all(h.paths.isolated for h in hosts))


def count_runs(fleet: Fleet) -> Counter[str]:
    """Returns how often each unsafe request was executed, by its id.

    Safe ones may be hedged, and then run twice.
    """
    return Counter(
        run.request_id
        for b in fleet.backends.values()
        for run in b.runs
        if run.method == 'POST'
    )


def relaying_hosts(fleet: Fleet) -> list[Host]:
    """Returns the hosts that send a request of another one right now."""
    return [host for host in fleet.hosts if host.relay_server.in_progress]


async def call(fleet: Fleet, host: Host, target: str) -> Response:
    """Sends a request to a host."""
    return await fleet.send_request(target, host=fleet.hosts.index(host))


def other_than_coordinator(fleet: Fleet) -> Host:
    """Returns a host that coordinates no servers of its domain."""
    leader = coordinator(fleet)
    (found,) = [
        host
        for host in fleet.hosts
        if host is not leader
        and host.settings.failure_domain == leader.settings.failure_domain
    ]
    return found


async def test_a_relayed_request_runs_once_and_its_outcome_is_told(
    large_fleet: Fleet, partition: Partition
) -> None:
    """Also if the link to the relaying host breaks while it sends."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    for backend in large_fleet.backends.values():
        backend.work_s = 0.3
    requests = [
        create_task(call(large_fleet, cut, f'/book/once-{n}'))
        for n in range(4)
    ]
    await large_fleet.wait_until(lambda: bool(relaying_hosts(large_fleet)))
    await sleep(0.1)
    cut.rpc.links.abort()
    statuses = [response.status for response in await gather(*requests)]
    runs = count_runs(large_fleet)
    assert_that(max(runs.values()), Equals(1))
    assert_that(statuses, Equals([502] * 4))


async def test_a_refused_request_has_not_run_at_a_relaying_host(
    large_fleet: Fleet, partition: Partition
) -> None:
    """503 says that it never runs, and servers have too few slots here."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    for backend in large_fleet.backends.values():
        backend.slots = 1
        backend.work_s = 0.2
    responses = await gather(
        *(call(large_fleet, cut, f'/book/full-{n}') for n in range(30))
    )
    refused = {
        response.header(b'x-request-id').decode()
        for response in responses
        if response.status == 503
    }
    runs = count_runs(large_fleet)
    assert_that(len(refused), GreaterThan(0))
    assert_that(refused & runs.keys(), Equals(set()))
    assert_that(max(runs.values()), Equals(1))


async def test_a_relaying_host_sends_only_what_it_has_offered(
    large_fleet: Fleet,
) -> None:
    """A request that was held up is not sent after its caller gave up."""
    sender, relaying = large_fleet.hosts[:2]
    message = RelayRequest(
        ('host-1', 1), 'q1', 1.0, b'POST', b'/book/late', (), b''
    )
    reply = await sender.rpc.call(relaying.settings.peer_listen, message, 1.0)
    assert_that(reply, Equals(RelayFailure(False, 'offer expired')))
    assert_that(count_runs(large_fleet), Equals(Counter()))


async def test_a_host_offers_no_relay_without_memory_for_it(
    large_fleet: Fleet, partition: Partition
) -> None:
    """Requests of other hosts filled a host that took all of them."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    before = count_runs(large_fleet)
    for host in large_fleet.hosts:
        if host is cut:
            continue
        budget = host.memory.callers
        budget.limit_bytes = budget.held_bytes + 3 * REQUEST_BYTES
    body = b'x' * 200_000
    statuses = [
        (
            await large_fleet.send_request(
                f'/book/full-{number}',
                host=large_fleet.hosts.index(cut),
                body=body,
            )
        ).status
        for number in range(4)
    ]
    assert_that(statuses, Equals([503] * 4))
    assert_that(count_runs(large_fleet), Equals(before))
    small = await call(large_fleet, cut, '/book/small')
    assert_that(small.status, Equals(200))


@pytest.mark.parametrize(
    ('headers', 'body_bytes', 'status'),
    [(0, 0, 200), (1_000, 0, 502), (0, 100_000, 502)],
)
async def test_a_relayed_response_without_memory_is_lost(
    large_fleet: Fleet,
    partition: Partition,
    headers: int,
    body_bytes: int,
    status: int,
) -> None:
    """A host keeps it until its caller has taken it."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])

    async def respond(message: RelayRequest, sender: str) -> RelayResponse:
        signature = (b'x-response-signature', b'any')
        filler = ((b'x-a', b'b'),) * headers
        return RelayResponse(200, (signature, *filler), b'x' * body_bytes)

    for host in large_fleet.hosts:
        host.rpc.register(RelayRequest, respond)
    budget = cut.memory.servers
    budget.limit_bytes = budget.held_bytes + 60_000
    response = await call(large_fleet, cut, '/book/large')
    assert_that(response.status, Equals(status))


async def test_a_relayed_request_ends_with_its_caller(
    large_fleet: Fleet, partition: Partition
) -> None:
    """The server stops working on it soon after the caller has left."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    for backend in large_fleet.backends.values():
        backend.work_s = 1.0
        backend.runs.clear()
    connection = await open_connection(cut.settings.callers_listen, 1.0)
    headers = [
        (b'host', HOST_HEADER.encode()),
        (b'x-request-id', b'leaving'),
        (b'x-deadline-ms', b'3000'),
    ]
    request = create_task(
        connection.exchange(Request(b'GET', b'/read/leave', headers, b''))
    )
    await large_fleet.wait_until(
        lambda: any(b.running for b in large_fleet.backends.values())
    )
    request.cancel()
    await large_fleet.wait_until(
        lambda: not any(b.running for b in large_fleet.backends.values())
    )
    runs = [run for b in large_fleet.backends.values() for run in b.runs]
    assert_that([run.whole for run in runs], Equals([False]))


async def test_a_relayed_request_has_no_more_time_than_its_caller(
    large_fleet: Fleet, partition: Partition
) -> None:
    """The server is told the remaining time, not a new one."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    for backend in large_fleet.backends.values():
        backend.runs.clear()
    index = large_fleet.hosts.index(cut)
    await large_fleet.send_request('/book/x', host=index, deadline_ms=600)
    (run,) = [run for b in large_fleet.backends.values() for run in b.runs]
    assert_that(run.deadline_ms, LessThan(601))
    assert_that(run.deadline_ms, GreaterThan(0))


async def test_no_request_travels_between_hosts_that_reach_no_server(
    large_fleet: Fleet, partition: Partition
) -> None:
    """It is refused, and no host hands it to another one."""
    addresses = [b.address for b in large_fleet.backends.values()]
    for host in large_fleet.hosts:
        await partition.cut(host, addresses, Cut.HANG)
    await send_requests(large_fleet, large_fleet.hosts)
    before = large_fleet.execution_count()
    calls = [record_calls(host.rpc) for host in large_fleet.hosts]
    responses = await send_requests(large_fleet, large_fleet.hosts, 20)
    statuses = {getattr(response, 'status', None) for response in responses}
    assert_that(statuses, Equals({503}))
    assert_that(large_fleet.execution_count(), Equals(before))
    assert_that(sum(c[RelayRequest] for c in calls), Equals(0))


async def test_a_host_that_stops_finishes_the_requests_of_others(
    large_fleet: Fleet, partition: Partition
) -> None:
    """As it does for those of its own callers."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    for backend in large_fleet.backends.values():
        backend.work_s = 0.4
    requests = [
        create_task(call(large_fleet, cut, f'/book/stop-{n}'))
        for n in range(4)
    ]
    await large_fleet.wait_until(lambda: bool(relaying_hosts(large_fleet)))
    await sleep(0.1)
    await gather(*(host.drain() for host in relaying_hosts(large_fleet)))
    assert_that(
        [response.status for response in await gather(*requests)],
        Equals([200] * 4),
    )


async def test_a_host_that_relays_much_is_spared(
    large_fleet: Fleet,
    partition: Partition,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Other hosts send the rest, and none more than its bound."""
    monkeypatch.setattr(relayserver, 'MAX_RELAYS', 2)
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    for backend in large_fleet.backends.values():
        backend.work_s = 0.2
    requests = [
        create_task(call(large_fleet, cut, f'/book/much-{n}'))
        for n in range(6)
    ]
    most = 0
    while not all(request.done() for request in requests):
        most = max(
            most, *(len(h.relay_server.in_progress) for h in large_fleet.hosts)
        )
        await sleep(0.01)
    assert_that(most, Equals(2))
    assert_that(count_served(await gather(*requests)), Equals(6))


async def test_a_host_sends_directly_again_after_a_cut(
    large_fleet: Fleet, partition: Partition
) -> None:
    """Also after the second cut, and both cuts are survived."""
    cut = other_than_coordinator(large_fleet)
    for _ in range(2):
        await isolate(large_fleet, partition, [cut])
        responses = await send_requests(large_fleet, [cut])
        assert_that(count_served(responses), GreaterThan(36))
        await partition.mend(cut)
        await send_requests(large_fleet, [cut], 80)
        asked = record_calls(cut.rpc)
        await send_requests(large_fleet, [cut])
        assert_that(asked[AskRelay], Equals(0))


def record_calls(rpc: Rpc) -> Counter[type]:
    """Returns a counter of the calls that a host makes from now on."""
    calls: Counter[type] = Counter()
    original = rpc.call

    async def counting_call(
        address: tuple[str, int], message: object, timeout_s: float
    ) -> object:
        calls[type(message)] += 1
        return await original(address, message, timeout_s)

    rpc.call = counting_call  # type: ignore[method-assign]
    return calls


@pytest.mark.parametrize('how', list(Cut))
async def test_callers_are_served_while_cuts_of_hosts_overlap(
    large_fleet: Fleet, partition: Partition, how: Cut
) -> None:
    """The host that helped is cut off before the first one is back."""
    first = other_than_coordinator(large_fleet)
    second = coordinator(large_fleet)
    addresses = [b.address for b in large_fleet.backends.values()]
    for host in (first, second):
        await partition.connect(host, addresses)
    await send_requests(large_fleet, large_fleet.hosts, 20)
    await partition.cut(first, addresses, how)
    await send_requests(large_fleet, [first], 60)
    await partition.cut(second, addresses, how)
    await send_requests(large_fleet, [first, second], 120)
    responses = await send_requests(large_fleet, [first, second])
    assert_that(count_served(responses), GreaterThan(36))
    await partition.mend(first)
    await send_requests(large_fleet, [first, second], 60)
    responses = await send_requests(large_fleet, [first, second])
    assert_that(count_served(responses), GreaterThan(36))


@pytest.mark.parametrize('how', list(Cut))
async def test_callers_of_a_host_that_reaches_some_servers_are_served(
    large_fleet: Fleet, partition: Partition, how: Cut
) -> None:
    """The servers that it reaches aren't given up with the others."""
    cut = other_than_coordinator(large_fleet)
    names = ('one', 'three')
    addresses = [large_fleet.backends[name].address for name in names]
    await send_requests(large_fleet, [cut], 20)
    await partition.cut(cut, addresses, how)
    await send_requests(large_fleet, [cut], 60)
    responses = await send_requests(large_fleet, [cut])
    assert_that(count_served(responses), Equals(40))
    assert_that(cut.paths.isolated, Equals(False))


@pytest.mark.parametrize('how', list(Cut))
async def test_servers_in_reach_are_used_if_no_other_host_helps(
    large_fleet: Fleet, partition: Partition, how: Cut
) -> None:
    """Requests don't go back and forth to servers that are out of reach."""
    cut = other_than_coordinator(large_fleet)
    names = ('one', 'three')
    addresses = [large_fleet.backends[name].address for name in names]
    for host in large_fleet.hosts:
        host.relay_server.stopping = True
    await send_requests(large_fleet, [cut], 20)
    await partition.cut(cut, addresses, how)
    await send_requests(large_fleet, [cut], 60)
    responses = await send_requests(large_fleet, [cut])
    assert_that(count_served(responses), Equals(40))


async def test_callers_of_a_host_that_restarts_in_a_cut_are_served(
    large_fleet: Fleet, partition: Partition
) -> None:
    """It begins without knowing that it reaches no server."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    host = await large_fleet.add_host()
    partition.add_host(host)
    addresses = [b.address for b in large_fleet.backends.values()]
    await partition.cut(host, addresses, Cut.HANG)
    await large_fleet.wait_until_ready()
    await send_requests(large_fleet, [host], 30)
    responses = await send_requests(large_fleet, [host])
    assert_that(count_served(responses), GreaterThan(36))


async def test_a_limited_server_gets_no_more_by_way_of_other_hosts(
    large_fleet: Fleet, partition: Partition
) -> None:
    """The sum over all hosts counts, whichever of them sends."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    limited = large_fleet.backends['one']
    limited.limit_per_s = 1.0
    await send_requests(large_fleet, large_fleet.hosts, 50)
    before = len(limited.runs)
    await send_requests(large_fleet, large_fleet.hosts, 200)
    assert_that(len(limited.runs) - before, LessThan(1.5 * 1.0 * 4 + 5 + 1))


async def test_a_host_alone_tries_a_lost_path_again(fleet: Fleet) -> None:
    """No other host can help, and a slow response is no cut."""
    (host,) = fleet.hosts
    # A loss in the future stands until the end of the test.
    lost_at = host.clock() + 60.0
    for backend in fleet.backends.values():
        host.paths.record_unreached(backend.address, 'slow', lost_at)
    response = await fleet.send_request('/read/alone')
    assert_that(response.status, Equals(200))
