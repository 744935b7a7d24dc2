"""A stand-in backend server."""

from asyncio import CancelledError
from asyncio import Event
from asyncio import get_running_loop
from asyncio import Semaphore
from asyncio import sleep
from asyncio import timeout
from random import Random
from time import time

from aiohttp.web import BaseRequest
from aiohttp.web import Response
from aiohttp.web import Server
from aiohttp.web import ServerRunner
from aiohttp.web import TCPSite
from mode import Service
from msgspec import json
from msgspec import ValidationError

from cowslipmill.outcomes.headers import DEADLINE_HEADER
from cowslipmill.outcomes.headers import LEAVING_HEADER
from cowslipmill.outcomes.headers import LOAD_HEADER
from cowslipmill.outcomes.headers import NOT_STARTED_HEADER
from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError
from cowslipmill.standin.behaviour import Behaviour
from cowslipmill.standin.ledger import Ending
from cowslipmill.standin.ledger import Ledger
from cowslipmill.standin.occupancy import Occupancy
from cowslipmill.standin.settings import ServerSettings

CONTROL_PREFIX = '/standin/'
REQUEST_ID_HEADER = 'Request-Id'
FOREVER_S = 3600.0
MIN_SLOW_FACTOR = 0.001
HEALTH_PATH = '/healthz'


class StandinServer(Service):
    """A server with slots, a queue, a load report and a ledger.

    Attributes:
        settings: Its name, address and sizes.
        behaviour: The faults in force.
        ledger: Every execution.
        running: Requests that hold a slot.
        waiting: Requests that wait for a slot.
    """

    def __init__(self, settings: ServerSettings, occupancy: Occupancy) -> None:
        """Starts without faults."""
        super().__init__()
        self.settings = settings
        self.occupancy = occupancy
        self.changed = Event()
        self.behaviour = Behaviour()
        self.ledger = Ledger()
        self.random = Random(settings.seed)
        self.slots = Semaphore(settings.slots)
        self.running = 0
        self.waiting = 0
        self.incarnation = 0
        self.crashing = False
        occupancy.add(settings.service, settings.name, self)

    async def on_start(self) -> None:
        """Listens."""
        await self.listen()

    async def listen(self) -> None:
        """Starts a new incarnation on the same address.

        Raises:
            CannotListen: If the address is taken.
        """
        self.incarnation = int(time() * 1000)
        self.listening_since = get_running_loop().time()
        self.crashing = False
        server = Server(self.handle, handler_cancellation=True)
        self.server = server
        self.runner = ServerRunner(
            server, access_log=None, shutdown_timeout=0.5
        )
        await self.runner.setup()
        host, port = split_address(self.settings.address)
        site = TCPSite(
            self.runner, host, port, reuse_address=True, backlog=1024
        )
        try:
            await site.start()
        except OSError as error:
            raise ListenError(
                'servers', self.settings.address, error
            ) from error

    async def on_stop(self) -> None:
        """Stops listening."""
        await self.runner.cleanup()

    async def crash(self, down_s: float) -> None:
        """Breaks every connection, stays down, then starts again."""
        self.crashing = True
        for site in list(self.runner.sites):
            await site.stop()
        for protocol in self.server.connections:
            if protocol.transport is not None:
                protocol.transport.abort()
        await self.runner.cleanup()
        await self.sleep(down_s)
        if not self.should_stop:
            await self.listen()

    async def handle(self, request: BaseRequest) -> Response:
        """Answers one request."""
        if request.path.startswith(CONTROL_PREFIX):
            return await self.control(request)
        if request.path == HEALTH_PATH:
            return self.report(Response(text='healthy\n'))
        self.occupancy.arrive(self.settings.name)
        body = await request.read()
        behaviour = self.behaviour
        if behaviour.failing_fast:
            execution = self.ledger.start(
                request.headers.get(REQUEST_ID_HEADER, ''),
                request.method,
                request.path_qs,
                time(),
            )
            execution.ending = Ending.FAILED
            return self.report(Response(status=500, text='failed\n'))
        if self.must_shed(request):
            return self.report(
                Response(status=503, headers={NOT_STARTED_HEADER: '1'})
            )
        return await self.run(request, body)

    def must_shed(self, request: BaseRequest) -> bool:
        """Tells whether the request is refused before it starts."""
        if self.behaviour.shedding:
            return True
        if self.waiting >= self.settings.queue_limit:
            return True
        deadline = request.headers.get(DEADLINE_HEADER, '')
        return deadline.isdecimal() and int(deadline) == 0

    async def run(self, request: BaseRequest, body: bytes) -> Response:
        """Waits for a slot and runs the request."""
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        execution = self.ledger.start(
            request_id, request.method, request.path_qs, time()
        )
        try:
            marker = self.behaviour.crash_marker.encode()
            if marker and marker in body:
                execution.ending = Ending.CRASHED
                self.add_future(self.crash(0.5))
                await sleep(FOREVER_S)
            await self.work(self.service_s())
            execution.ending = Ending.DONE
            content = json.encode(
                {'server': self.settings.name, 'request_id': request_id}
            )
            padding = b' ' * (self.behaviour.answer_bytes - len(content))
            return self.report(
                Response(
                    body=content + padding, content_type='application/json'
                )
            )
        except CancelledError:
            if execution.ending is Ending.RUNNING:
                crashed = self.crashing
                execution.ending = (
                    Ending.CRASHED if crashed else Ending.CANCELLED
                )
            raise
        finally:
            self.running -= 1
            self.slots.release()

    async def work(self, work_s: float) -> None:
        """Takes a time, longer while the server is slowed down."""
        loop = get_running_loop()
        while work_s > 0.0:
            factor = max(self.behaviour.slow_factor, MIN_SLOW_FACTOR)
            started_at = loop.time()
            try:
                async with timeout(work_s * factor):
                    await self.changed.wait()
            except TimeoutError:
                return
            work_s -= (loop.time() - started_at) / factor

    def service_s(self) -> float:
        """Returns how long the next request takes at full speed."""
        if self.behaviour.frozen:
            return FOREVER_S
        mean = self.settings.service_ms
        age_ms = (get_running_loop().time() - self.listening_since) * 1000
        if age_ms < self.settings.cold_ms:
            mean *= self.settings.cold_factor
        return self.random.expovariate(1.0) * mean / 1000

    def report(self, answer: Response) -> Response:
        """Adds the load report and the drain signal."""
        running = 0 if self.behaviour.lying else self.running
        waiting = 0 if self.behaviour.lying else self.waiting
        answer.headers[LOAD_HEADER] = (
            f'TEXT named_metrics.in_flight={running},'
            f' named_metrics.queue={waiting}'
        )
        if self.behaviour.draining:
            answer.headers[LEAVING_HEADER] = '1'
        return answer

    async def control(self, request: BaseRequest) -> Response:
        """Answers the experiment's own calls."""
        action = request.path.removeprefix(CONTROL_PREFIX)
        if action == 'ledger':
            return json_answer(self.ledger.executions)
        if action == 'least':
            query = request.query
            excluded = query.get('excluded', '').split(',')
            name = self.occupancy.choose_least(
                query.get('service', self.settings.service), excluded
            )
            return Response(text=name)
        if action == 'occupancy':
            return json_answer([self.running, self.waiting])
        if action == 'crash':
            down_ms = int(request.query.get('down_ms', '500'))
            self.add_future(self.crash(down_ms / 1000))
            return json_answer({})
        if action == 'behaviour' and request.method == 'PUT':
            try:
                self.behaviour = json.decode(
                    await request.read(), type=Behaviour
                )
            except ValidationError as error:
                return Response(status=400, text=f'{error}\n')
            # Requests that run now go on at the new speed.
            self.changed.set()
            self.changed = Event()
            return json_answer(self.behaviour)
        return Response(status=404)


def json_answer(value: object) -> Response:
    """Returns a value as JSON."""
    return Response(body=json.encode(value), content_type='application/json')
