"""A stand-in of the platform: two values to read and watch."""

from asyncio import Event
from asyncio import sleep
from asyncio import timeout
from collections import Counter

from aiohttp.web import BaseRequest
from aiohttp.web import Response
from aiohttp.web import Server
from aiohttp.web import ServerRunner
from aiohttp.web import TCPSite
from mode import Service
from msgspec import json
from msgspec import Struct

from cowslipmill.publication.client import CONFIGURATION_PATH
from cowslipmill.publication.client import HOSTS_PATH
from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError

MAX_VALUE_BYTES = 1_048_576
MAX_WAIT_MS = 60_000
SWITCH_PREFIX = '/standin/'


class Version(Struct):
    """The one field of a value that the platform itself reads."""

    version: int = 0
    revision: int = 0


class Value:
    """One published value and those that wait for the next.

    Attributes:
        raw: The latest bytes, or None.
        number: Its version or revision.
        changed: Set when the value changes.
    """

    __slots__ = ('changed', 'number', 'raw')

    def __init__(self) -> None:
        """Starts with nothing published."""
        self.raw: bytes | None = None
        self.number = 0
        self.changed = Event()

    def publish(self, raw: bytes) -> None:
        """Replaces the value, also by an older one."""
        found = json.decode(raw, type=Version)
        self.raw = raw
        self.number = max(found.version, found.revision)
        self.changed.set()
        self.changed = Event()


class StandinPlatform(Service):
    """Serves the configuration and the host list.

    Switches: `PUT /standin/publish/configuration` and `.../hosts` publish,
    `PUT /standin/down?on=1` makes every call fail.

    Attributes:
        values: Published values by path.
        calls: Calls by path, a waiting watch counted as one.
        down: Whether every call fails.
    """

    def __init__(self, address: str) -> None:
        """Starts with nothing published."""
        super().__init__()
        self.address = address
        self.values = {CONFIGURATION_PATH: Value(), HOSTS_PATH: Value()}
        self.calls: Counter[str] = Counter()
        self.down = False
        self.stopping = Event()

    async def on_start(self) -> None:
        """Listens.

        Raises:
            CannotListen: If the address is taken.
        """
        self.runner = ServerRunner(
            Server(self.handle, handler_cancellation=True),
            access_log=None,
            shutdown_timeout=0.5,
        )
        await self.runner.setup()
        host, port = split_address(self.address)
        try:
            await TCPSite(self.runner, host, port).start()
        except OSError as error:
            raise ListenError('platform', self.address, error) from error

    async def on_stop(self) -> None:
        """Stops listening."""
        await self.runner.cleanup()

    async def handle(self, request: BaseRequest) -> Response:
        """Answers one call."""
        if request.path.startswith(SWITCH_PREFIX):
            return await self.switch(request)
        value = self.values.get(request.path)
        if value is None or request.method != 'GET':
            return Response(status=404)
        self.calls[request.path] += 1
        if self.down:
            return Response(status=503)
        after = int(request.url.query.get('after', '0'))
        wait_ms = int(request.url.query.get('wait_ms', '0'))
        return await self.read(value, after, min(wait_ms, MAX_WAIT_MS))

    async def read(self, value: Value, after: int, wait_ms: int) -> Response:
        """Returns the value once it is newer than `after`."""
        if value.raw is None or value.number <= after:
            try:
                async with timeout(wait_ms / 1000):
                    await value.changed.wait()
            except TimeoutError:
                return Response(status=204)
        if self.down or value.raw is None:
            return Response(status=503)
        return Response(body=value.raw, content_type='application/json')

    async def switch(self, request: BaseRequest) -> Response:
        """Carries out one of the experiment's own calls."""
        action = request.path.removeprefix(SWITCH_PREFIX)
        if action == 'calls':
            return Response(body=json.encode(dict(self.calls)))
        if action == 'down':
            self.down = request.url.query.get('on') == '1'
            return Response(text='done\n')
        if action in ('publish/configuration', 'publish/hosts'):
            path = f'/v1/{action.removeprefix("publish/")}'
            raw = await request.read()
            if len(raw) > MAX_VALUE_BYTES:
                return Response(status=413)
            self.values[path].publish(raw)
            await sleep(0)
            return Response(text='done\n')
        return Response(status=404)
