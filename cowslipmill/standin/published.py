"""What operators and servers publish in the stand-in of the store."""

from typing import Any

from cowslipmill.standin.backend import StandinBackend

SERVICE = 'registry'
STARTED_MS = 1_700_000_000_000
CONFIGURATION_KEY = 'op/config'

Published = dict[str, Any]


def make_route(
    prefix: str,
    kind: str,
    *,
    host: str,
    timeout_ms: int = 700,
    objective_ms: int = 500,
    **more: Any,
) -> Published:
    """Returns a route as the operator writes it."""
    return {
        'Name': prefix.strip('/'),
        'Host': host,
        'Prefix': prefix,
        'Kind': kind,
        'TimeoutMs': timeout_ms,
        'TargetLatencyMs': objective_ms,
        'Priority': 1,
        'MaxAttempts': 2,
        'Service': SERVICE,
        **more,
    }


def make_configuration(
    version: int, *routes: Published, warm_up_per_s: float | None = None
) -> Published:
    """Returns a configuration as the operator writes it.

    Args:
        version: Its version.
        routes: The routes.
        warm_up_per_s: Requests a second that a cold server withstands; None
            if the service doesn't say.
    """
    service: Published = {
        'Name': SERVICE,
        'HealthPath': '/health',
        'Tls': False,
    }
    if warm_up_per_s is not None:
        service['WarmupPerS'] = warm_up_per_s
    return {
        'Version': f'{version:08x}',
        'Routes': list(routes),
        'Services': [{**service, 'MaxConnections': 260, 'Protocol': 'h1'}],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 1_048_576,
            'HeaderTimeoutMs': 3_000,
            'IdleTimeoutMs': 15_000,
        },
    }


def make_entry(
    backend: StandinBackend,
    address: tuple[str, int],
    failure_domain: str,
    **more: Any,
) -> Published:
    """Returns a server's entry as it writes it.

    Args:
        backend: The server.
        address: Where it is reached.
        failure_domain: Where it runs.
        more: Fields with other values.
    """
    host, port = address
    return {
        'Service': SERVICE,
        'Address': f'{host}:{port}',
        'Zone': failure_domain,
        'Version': 'v1',
        'Slots': backend.slots,
        'State': 'ready',
        'WarmupLeftMs': 0,
        'Sequence': 1,
        'born': STARTED_MS,
        **more,
    }
