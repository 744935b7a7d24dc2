"""Tests of where hosts decide by what delays and refusals cost callers.

Guard against another decision than before in deployments that have no route
for bulk transfers.
"""

from msgspec.structs import replace
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.host.tests.conftest import Fleet


async def test_coordinators_weigh_cost_only_with_a_bulk_route(
    fleet: Fleet,
) -> None:
    """Guards against a decision that no configuration asked for."""
    manager = fleet.hosts[0].lease_manager
    service = next(iter(manager.view.services))
    coordinator = manager.local_coordinator(service, 'a')
    assert_that(coordinator.scheduler.weighs_cost, Equals(False))
    configuration = manager.view.configuration
    assert configuration is not None
    first, *others = configuration.routes
    manager.view.configuration = replace(
        configuration, routes=(replace(first, bulk=True), *others)
    )
    manager.view.generation += 1
    manager.local_coordinator(service, 'a')
    assert_that(coordinator.scheduler.weighs_cost, Equals(True))


async def test_requests_are_answered_by_weighed_decisions(
    fleet: Fleet,
) -> None:
    """Guards against decisions that work in replays only."""
    for host in fleet.hosts:
        configuration = host.lease_manager.view.configuration
        assert configuration is not None
        routes = tuple(replace(r, bulk=True) for r in configuration.routes)
        host.lease_manager.view.configuration = replace(
            configuration, routes=routes
        )
        host.lease_manager.view.generation += 1
    for number in range(5):
        response = await fleet.send_request(f'/book/{number}')
        assert_that(response.status, Equals(200))
