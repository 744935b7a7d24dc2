"""A stand-in of the platform's metadata store, with its faults."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import Server
from asyncio import sleep
from asyncio import wait_for
from base64 import b64encode
from json import dumps
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs

from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.listenerstate import CallerLimits
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.platform.storeapi import EVACUATION_PREFIX

LIMITS = CallerLimits(16_384, 1_048_576, 10.0, 60.0)
# How long a store that doesn't answer holds a call.
SILENCE_S = 30.0

Item = dict[str, Any]


class Copy(NamedTuple):
    """What a store held at one moment.

    Attributes:
        items: Present items by key.
        revision: The last change.
    """

    items: dict[str, Item]
    revision: int


class StandinStore:
    """Holds items with revisions and answers the store's read calls.

    Attributes:
        items: Present items by key.
        history: Every change since `compacted`, in its order.
        revision: The last change.
        era: Number of times that it came back from an older copy.
        compacted: Changes up to this revision are forgotten.
        calls: Calls received, by path.
        page_size: Items of one page.
        delay_s: Time before each answer.
        silent: Whether no call is answered.
        busy: Whether every call gets 503.
        lose_next: Calls whose connection goes silent.
        skip_events: Whether a watch leaves out what it should tell.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.revision = 1
        self.era = 0
        self.compacted = 0
        self.calls: dict[str, int] = {}
        self.page_size = 500
        self.delay_s = 0.0
        self.silent = False
        self.busy = False
        self.lose_next = 0
        self.skip_events = False
        self.changed = Event()
        self.address = ('127.0.0.1', 0)
        self.server: Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        loop = get_running_loop()
        callers = CallerServer(self.handle, LIMITS, loop.time)
        self.server = await loop.create_server(callers, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = (host, port)

    async def stop(self) -> None:
        """Stops listening."""
        if self.server is not None:
            self.server.close()

    def put(self, key: str, value: Any) -> int:
        """Writes a value as JSON and returns its revision."""
        return self.put_raw(key, dumps(value).encode())

    def put_raw(self, key: str, value: bytes) -> int:
        """Writes bytes and returns their revision."""
        self.revision += 1
        item = {
            'Key': key,
            'Value': b64encode(value).decode(),
            'Revision': self.revision,
            'CreateRev': self.revision,
            'Lease': 0,
        }
        self.items[key] = item
        self.record(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items.pop(key, None)
        removal = {'Key': key, 'Revision': self.revision, 'Removed': True}
        self.record(removal)

    def evacuate(self, failure_domain: str) -> int:
        """Begins an evacuation and returns the revision of its key."""
        return self.put(EVACUATION_PREFIX + failure_domain, {})

    def end_evacuation(self, failure_domain: str) -> None:
        """Removes the key of an evacuation."""
        self.remove(EVACUATION_PREFIX + failure_domain)

    def record(self, change: Item) -> None:
        """Keeps a change and wakes those who watch."""
        self.history.append(change)
        self.changed.set()
        self.changed = Event()

    def compact(self) -> None:
        """Forgets the history."""
        self.compacted = self.revision
        self.history.clear()

    def copy(self) -> Copy:
        """Returns a copy of what it holds now."""
        return Copy(dict(self.items), self.revision)

    def restore(self, copy: Copy) -> None:
        """Comes back from a copy; what was written since is lost."""
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.era += 1
        self.compact()
        self.changed.set()
        self.changed = Event()

    async def handle(self, request: Request, exchange: Exchange) -> Response:
        """Answers one call and names its era in the answer."""
        response = await self.respond(request)
        response.headers.append((b'store-era', b'%d' % self.era))
        return response

    async def respond(self, request: Request) -> Response:
        """Answers one call, or fails as it is told to."""
        path, _, query = request.target.decode().partition('?')
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.lose_next:
            self.lose_next -= 1
            await sleep(SILENCE_S)
        if self.silent:
            await sleep(SILENCE_S)
        await sleep(self.delay_s)
        if self.busy:
            return Response(503, [], b'')
        words = {
            name: values[0]
            for name, values in parse_qs(query, keep_blank_values=True).items()
        }
        if path == '/api/kv-range':
            return self.page(words)
        if path == '/api/kv-watch':
            return await self.watch(words)
        return Response(404, [], b'')

    def page(self, words: dict[str, str]) -> Response:
        """Answers with a part of the items."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(words['Prefix']) and key > words.get('after', '')
        )
        page = keys[: self.page_size]
        return answer(
            {
                'items': [self.items[key] for key in page],
                'Truncated': len(keys) > len(page),
                'CurrentRev': self.revision,
            }
        )

    async def watch(self, words: dict[str, str]) -> Response:
        """Answers with what has changed, once something has."""
        after = int(words['after'])
        if not self.compacted <= after <= self.revision:
            return Response(410, [], b'')
        events = self.events_after(after, words['Prefix'])
        if not events and not self.skip_events:
            try:
                wait_s = int(words['WaitMs']) / 1000
                await wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                events = []
            events = self.events_after(after, words['Prefix'])
        if self.skip_events:
            events = events[1:]
        return answer({'events': events, 'CurrentRev': self.revision})

    def events_after(self, revision: int, prefix: str) -> list[Item]:
        """Returns the changes since a revision."""
        return [
            change
            for change in self.history
            if change['Revision'] > revision
            and change['Key'].startswith(prefix)
        ]


def answer(value: Any) -> Response:
    """Returns a JSON answer."""
    kind = [(b'content-type', b'application/json')]
    return Response(200, kind, dumps(value).encode())
