"""Builds the chooser for the load-balancing policy in the settings."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from random import Random

from aiohttp import ClientSession

from cowslipmill.choice.chooser import Chooser
from cowslipmill.choice.policies import PolicyChooser
from cowslipmill.choice.policies import SIMPLE_POLICIES
from cowslipmill.choice.probing import OracleChooser
from cowslipmill.choice.probing import PrequalChooser
from cowslipmill.choice.rule import Rule
from cowslipmill.choice.server import Server
from cowslipmill.coordination.chooser import LeaseChooser
from cowslipmill.entry.attemptreport import total_load
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.entry.signals import parse_signals
from cowslipmill.settings.settings import EntrySettings


def build_chooser(
    settings: EntrySettings,
    routing_state: RoutingState,
    peering: Peering,
    session: ClientSession,
    clock: Callable[[], float],
    random: Random,
) -> Chooser:
    """Returns the chooser for the policy in `settings.choice`.

    Args:
        settings: Settings of the entry.
        routing_state: Servers, services and placements in use.
        peering: Messages to other entries, for leases.
        session: HTTP session for load probes.
        clock: Returns monotonic seconds.
        random: Source of random numbers.
    """

    def list_servers(service: str) -> Sequence[Server]:
        return tuple(routing_state.pools[service].servers.values())

    if settings.choice in SIMPLE_POLICIES:
        policy = SIMPLE_POLICIES[settings.choice]
        return PolicyChooser(policy, list_servers, clock, random)
    if settings.choice is Rule.PREQUAL:
        return PrequalChooser(
            session, list_servers, load_from_headers, clock, random
        )
    if settings.choice is Rule.ORACLE:
        return OracleChooser(session, list_servers)
    return LeaseChooser(
        settings.name,
        routing_state,
        peering,
        clock,
        random,
        failure_domain=settings.failure_domain,
    )


def load_from_headers(headers: Mapping[str, str]) -> int | None:
    """Returns the number of requests at a server, or None if unreported.

    Args:
        headers: Headers of the server's response.
    """
    return total_load(parse_signals(headers))
