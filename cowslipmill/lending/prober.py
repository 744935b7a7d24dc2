"""Asks servers for their load right before a decision."""

from asyncio import get_running_loop
from collections.abc import Callable

from prometheus_client import Counter

from cowslipmill.forwarding.dialect import Dialect
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.lending.slots import ServerSlots
from cowslipmill.view.server import ServerRecord

# A server answers this question at once; one that takes this long doesn't
# answer at all.
ANSWER_TIMEOUT_S = 0.15
CONNECT_TIMEOUT_S = 0.15

QUESTIONS = Counter(
    'cowslipmill_host_load_questions_total',
    'Questions for the load of servers.',
    ('result',),
)


class Prober:
    """Keeps one connection to each server for questions.

    Attributes:
        connections: Connections by the server's address.
    """

    def __init__(self, dialect: Dialect, clock: Callable[[], float]) -> None:
        """Starts without connections."""
        self.dialect = dialect
        self.clock = clock
        self.connections: dict[tuple[str, int], ServerConnection] = {}
        self.asking: set[tuple[str, int]] = set()

    async def ask(self, server: ServerSlots, path: str) -> None:
        """Asks one server and notes what it says."""
        address = server.record.address
        if address in self.asking:
            return
        self.asking.add(address)
        asked_at = self.clock()
        try:
            connection = await self.connect(address)
            request = self.dialect.health_request(server.record, path)
            until = get_running_loop().time() + ANSWER_TIMEOUT_S
            asked_at = self.clock()
            answer = await connection.exchange(request, until=until)
        except (ConnectFailed, ExchangeFailed, TimeoutError):
            QUESTIONS.labels('unanswered').inc()
            server.note_silence(self.clock())
            return
        finally:
            self.asking.discard(address)
        load = self.dialect.read_health(answer, server.record)
        if load is None:
            QUESTIONS.labels('other-server').inc()
            server.block(self.clock())
            return
        QUESTIONS.labels('answered').inc()
        server.note_load(load, asked_at, self.clock())

    async def connect(self, address: tuple[str, int]) -> ServerConnection:
        """Returns the connection for questions to an address."""
        connection = self.connections.get(address)
        if connection is not None and connection.usable:
            if get_running_loop().time() < connection.idle_until:
                return connection
        if connection is not None:
            connection.close()
        connection = await open_connection(address, CONNECT_TIMEOUT_S)
        self.connections[address] = connection
        return connection

    def retain(self, records: list[ServerRecord]) -> None:
        """Closes the connections to servers that are gone."""
        kept = {record.address for record in records}
        for address in list(self.connections):
            if address not in kept:
                self.connections.pop(address).close()
