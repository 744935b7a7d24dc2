"""Costs in one process that grow with the size of a deployment.

Each figure is measured at a quarter of the target size and at the target
size (3,700 servers in 430 services), so that slopes can be worked out.
"""

from collections.abc import Callable
from gc import collect
from time import perf_counter

from msgspec import json
from msgspec.structs import replace

from cowslipmill.agent.messages import Facts
from cowslipmill.agent.messages import FEED_CODEC
from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.document.cache import DocumentCache
from cowslipmill.document.checker import decode_document
from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.document import Service
from cowslipmill.document.document import Team
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role
from cowslipmill.hosts.nodetable import NodeTable
from cowslipmill.routing.table import RouteTable

TARGET_SERVICES = 430
TARGET_SERVERS = 3_700
ROUTES_PER_SERVICE = 3
SHARES = {'quarter': 0.25, 'target': 1.0}
REPEATS = 5


async def run(context: Context) -> Result:
    """Measures both sizes."""
    arms = {}
    for step, (name, share) in enumerate(SHARES.items()):
        context.progress(step / len(SHARES), name)
        services = int(TARGET_SERVICES * share)
        servers = int(TARGET_SERVERS * share)
        arms[name] = measure(services, servers)
    return Result(hosts=0, figures=arms['target'], arms=arms)


def measure(services: int, servers: int) -> dict[str, float]:
    """Returns the figures at one size."""
    raw = json.encode(make_document(services))
    document = decode_document(raw)
    facts = make_facts(services, servers)
    table = RouteTable(document.routes)
    changed = json.encode(change_one_route(document))
    message = Facts(facts=facts, age_ms=0)
    encoded = FEED_CODEC.encode(message)
    path = f'/service-{services // 2}/items/77'
    return {
        'services': services,
        'servers': servers,
        'document_bytes': len(raw),
        'host_list_bytes': len(json.encode(facts)),
        'facts_message_bytes': len(encoded),
        'decode_document_ms': time_ms(lambda: decode_document(raw)),
        'decode_change_ms': time_changes_ms(raw, changed),
        'build_routes_ms': time_ms(lambda: RouteTable(document.routes)),
        'merge_facts_ms': time_ms(lambda: NodeTable(facts)),
        'encode_facts_ms': time_ms(lambda: FEED_CODEC.encode(message)),
        'decode_facts_ms': time_ms(lambda: FEED_CODEC.decode(encoded)),
        'find_route_us': 1000
        * time_ms(lambda: table.find('example', 'GET', path), calls=10_000),
    }


def time_ms(work: Callable[[], object], *, calls: int = 1) -> float:
    """Returns the shortest time of one call in some repeats."""
    times = []
    for _ in range(REPEATS):
        collect()
        started_at = perf_counter()
        for _ in range(calls):
            work()
        times.append(perf_counter() - started_at)
    return round(min(times) * 1000 / calls, 5)


def time_changes_ms(raw: bytes, changed: bytes) -> float:
    """Returns the time to put one changed route in force at an entry."""
    cache = DocumentCache()
    table = RouteTable(cache.decode(raw).routes)

    def put_in_force_twice() -> None:
        table.replace(cache.decode(changed).routes)
        table.replace(cache.decode(raw).routes)

    return time_ms(put_in_force_twice) / 2


def change_one_route(document: Document) -> Document:
    """Returns the document with another deadline in one route."""
    first = replace(document.routes[0], deadline_ms=1_234)
    return replace(document, routes=(first, *document.routes[1:]))


def make_document(services: int) -> Document:
    """Returns a document with a number of services and their routes."""
    team = Team(name='team')
    names = [f'service-{number}' for number in range(services)]
    return Document(
        version=1,
        deployment='target',
        teams=(team,),
        services=tuple(
            Service(name=name, team='team', slots_per_server=6)
            for name in names
        ),
        routes=tuple(
            Route(
                name=f'{name}-{number}',
                team='team',
                service=name,
                methods=('GET',),
                path=f'/{name}/items/{{id}}' + '/part' * number,
                idempotent=True,
            )
            for name in names
            for number in range(ROUTES_PER_SERVICE)
        ),
    )


def make_facts(services: int, servers: int) -> tuple[NodeRecord, ...]:
    """Returns one fact for each server."""
    return tuple(
        NodeRecord(
            name=f'server-{number}',
            role=Role.BACKEND_SERVER,
            address=f'127.0.{number % 250}.{number // 250 + 1}:9000',
            failure_domain=f'domain-{number % 7}',
            incarnation=1_780_000_000_000 + number,
            service=f'service-{number % services}',
        )
        for number in range(servers)
    )
