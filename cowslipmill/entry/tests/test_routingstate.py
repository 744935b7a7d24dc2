"""Tests of the routing state: documents, members and refreshes."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is

from cowslipmill.document.document import Document
from cowslipmill.document.document import Service
from cowslipmill.document.document import Team
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role

SERVICE_COUNT = 30


def make_member(number: int) -> Member:
    """Returns a live entry."""
    return Member(
        name=f'entry-{number}',
        host=f'host-{number}',
        failure_domain=f'domain-{number}',
        incarnation=1,
        peer_address='127.0.0.1:1',
    )


def make_document(version: int, *, retry_share: float = 0.1) -> Document:
    """Returns a document with many services."""
    return Document(
        version=version,
        deployment='test',
        teams=(Team(name='team'),),
        services=tuple(
            Service(
                name=f'service-{number}',
                team='team',
                slots_per_server=2,
                retry_share=retry_share if number == 0 else 0.1,
            )
            for number in range(SERVICE_COUNT)
        ),
        routes=(),
    )


@pytest.fixture
def routing_state() -> RoutingState:
    """Returns a routing state with one server in each service."""
    routing_state = RoutingState(make_member(0))
    routing_state.merge_facts(
        NodeRecord(
            name=f'server-{number}',
            role=Role.BACKEND_SERVER,
            address='127.0.0.1:9000',
            failure_domain='domain-0',
            incarnation=1,
            service=f'service-{number}',
        )
        for number in range(SERVICE_COUNT)
    )
    routing_state.apply_document(make_document(1))
    while routing_state.refresh_batch():
        pass
    return routing_state


def record_refreshed(routing_state: RoutingState) -> list[str]:
    """Returns a list to which each service refreshed from now on is added."""
    refreshed: list[str] = []
    routing_state.on_refresh.append(refreshed.append)
    return refreshed


def test_document_refreshes_only_changed_services(
    routing_state: RoutingState,
) -> None:
    """A change of one service does not refresh the others."""
    refreshed = record_refreshed(routing_state)
    routing_state.apply_document(make_document(2, retry_share=0.5))
    assert_that(refreshed, Equals(['service-0']))


def test_older_document_is_not_applied(
    routing_state: RoutingState,
) -> None:
    """The version in force never decreases."""
    routing_state.apply_document(make_document(3))
    assert_that(routing_state.apply_document(make_document(2)), Is(False))
    assert routing_state.document is not None
    assert_that(routing_state.document.version, Equals(3))


def test_retry_budget_survives_a_new_document(
    routing_state: RoutingState,
) -> None:
    """A change does not refill a budget that a load spike has used up."""
    budget = routing_state.budgets['service-0']
    budget.tokens = 0.5
    routing_state.apply_document(make_document(2, retry_share=0.5))
    assert_that(routing_state.budgets['service-0'], Is(budget))
    assert_that((budget.tokens, budget.share), Equals((0.5, 0.5)))


def test_change_of_members_refreshes_services_in_batches(
    routing_state: RoutingState,
) -> None:
    """A new member refreshes one batch at once and the others later."""
    refreshed = record_refreshed(routing_state)
    members = [make_member(0), make_member(1)]
    routing_state.update_members(members, 1.0)
    assert 0 < len(refreshed) < SERVICE_COUNT
    while routing_state.refresh_batch():
        pass
    assert_that(len(set(refreshed)), Equals(SERVICE_COUNT))
    routing_state.update_members(members, 2.0)
    assert_that(len(refreshed), Equals(SERVICE_COUNT))


def test_service_in_use_is_refreshed_first(
    routing_state: RoutingState,
) -> None:
    """A request never uses a placement of outdated members."""
    routing_state.update_members([make_member(0), make_member(1)], 1.0)
    name = sorted(routing_state.stale_services)[0]
    refreshed = record_refreshed(routing_state)
    routing_state.refresh_if_stale(name)
    assert_that(refreshed, Equals([name]))


def test_removed_service_has_no_servers(
    routing_state: RoutingState,
) -> None:
    """A service that a new document omits gets no requests."""
    document = make_document(2)
    routing_state.apply_document(
        Document(
            version=2,
            deployment='test',
            teams=document.teams,
            services=document.services[1:],
            routes=(),
        )
    )
    assert 'service-0' not in routing_state.pools
