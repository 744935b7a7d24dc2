"""Routes and servers for tests of requests."""

from cowslipmill.choice.server import Server
from cowslipmill.document.document import Route
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role


def make_route(*, idempotent: bool) -> Route:
    """Returns a route of the service `registry`."""
    return Route(
        name='route',
        team='team',
        service='registry',
        methods=('POST',),
        path='/work',
        idempotent=idempotent,
    )


def make_server(number: int) -> Server:
    """Returns a server; consecutive ones are in different failure domains."""
    record = NodeRecord(
        name=f'registry-{number}',
        role=Role.BACKEND_SERVER,
        address=f'127.0.0.1:{9000 + number}',
        failure_domain=f'domain-{number % 3}',
        incarnation=1,
        service='registry',
    )
    return Server(record)
