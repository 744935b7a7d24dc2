"""Tests of a host that other hosts tell of services that don't exist."""

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from cowslipmill.fleet.messages import AskLease
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.leasing.leasemanager import MAX_COORDINATORS
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import NO_PATH
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report


async def test_made_up_services_do_not_take_the_place_of_real_ones(
    fleet: Fleet,
) -> None:
    """A coordinator of some kilobytes was kept for each of them."""
    host = fleet.hosts[0]
    assert_that((await fleet.send_request('/book/1')).status, Equals(200))
    manager = host.lease_manager
    real = dict(manager.coordinators)
    for number in range(MAX_COORDINATORS + 100):
        name = f'made-up-{number}'
        report = Report(
            ('host-1', number), name, 'a', 's', LeaseResult.FAILED, 0.1
        )
        await manager.on_report(report, 'host-1')
        assert_that(len(manager.coordinators), LessThan(MAX_COORDINATORS + 1))
    for key, coordinator in real.items():
        assert_that(manager.coordinators.get(key) is coordinator, Equals(True))
    assert_that((await fleet.send_request('/book/2')).status, Equals(200))


async def test_a_lease_request_beyond_the_bound_is_refused(
    fleet: Fleet,
) -> None:
    """Its sender goes on with another host at once."""
    manager = fleet.hosts[0].lease_manager
    service = next(iter(manager.view.services.values()))
    for number in range(MAX_COORDINATORS):
        name = f'real-{number}'
        manager.view.services[name] = service
        manager.local_coordinator(name, 'a')
    message = AskLease(
        ('host-1', 1), 'one more', 'a', 'r', 0, 0.1, 0.1, 1.0, (), None
    )
    reply = await manager.on_ask_lease(message, 'host-1')
    assert_that(reply, Equals(Refusal(message.key, NO_PATH, 0.0, 0)))
