"""Reads the store when it is this host's turn."""

from asyncio import get_running_loop
from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger
from typing import Protocol

from prometheus_client import Counter

from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.view.events import EntryChanges
from cowslipmill.view.events import EntryPage
from cowslipmill.view.events import HistoryCompacted
from cowslipmill.view.events import InvalidEntry
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.events import StoreUnavailable
from cowslipmill.view.view import View

LOG = getLogger(__name__)

# The store answers in a few milliseconds; a slow day makes that 0.4 s.
CALL_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.4
# How long the store may wait for a change. Leaving servers and new
# configurations have to be known within 2 s, also if this host's connection
# goes silent and another host has to read.
WATCH_S = 0.8

STORE_CALLS = Counter(
    'cowslipmill_host_store_calls_total',
    'Calls to the store by how they ended.',
    ('result',),
)


class StoreApi(Protocol):
    """Builds the store's requests and reads its answers."""

    def build_page_request(self, after_key: str) -> Request:
        """Returns the request of one page of all entries."""

    def build_changes_request(self, revision: int, wait_s: float) -> Request:
        """Returns the request of what changed since a revision."""

    def parse_page(self, answer: Response) -> EntryPage | StoreUnavailable:
        """Returns the page that an answer holds."""

    def parse_changes(
        self, answer: Response
    ) -> EntryChanges | HistoryCompacted | StoreUnavailable:
        """Returns the changes that an answer holds."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """What a read of the store gave.

    Attributes:
        since: Revision from which the news continues.
        revision: Revision that it ends with.
        news: What a host that knows `since` needs to know `revision`.
        applied: What changed in this host's view.
    """

    since: int
    revision: int
    news: list[StoreEvent]
    applied: list[StoreEvent]


class StoreReader:
    """Keeps a view up to date from the store.

    Attributes:
        view: The view.
        cursor: Revision after which changes are asked for; 0 to read all.
        reachable: Whether the last call succeeded.
    """

    def __init__(
        self,
        address: tuple[str, int],
        store: StoreApi,
        view: View,
        clock: Callable[[], float],
    ) -> None:
        """Keeps the parts; no connection opens yet."""
        self.address = address
        self.store = store
        self.view = view
        self.clock = clock
        self.connection: ServerConnection | None = None
        self.cursor = 0
        self.reachable: bool | None = None

    async def read(self) -> ReadResult | StoreUnavailable:
        """Reads what changed.

        Other hosts' news may have brought the view further than this host
        has read; reading goes on from there.
        """
        if not self.view.revision:
            return await self.read_all()
        since = max(self.cursor, self.view.revision)
        self.cursor = since
        request = self.store.build_changes_request(since, WATCH_S)
        answer = await self.call(request, WATCH_S)
        if isinstance(answer, StoreUnavailable):
            return self.note_lost(answer)
        changes = self.store.parse_changes(answer)
        if isinstance(changes, StoreUnavailable):
            return self.note_lost(changes)
        if isinstance(changes, HistoryCompacted):
            LOG.info('history gone', extra={'revision': since})
            return await self.read_all()
        log_invalid(changes.invalid)
        if changes.count < changes.revision - since:
            LOG.info('changes missing', extra={'revision': since})
            return await self.read_all()
        now = self.clock()
        self.cursor = max(since, changes.revision)
        changed = self.view.apply_events(changes.events, now)
        self.view.advance(self.cursor, now)
        self.note_reached()
        # All of them, since another host's news may have changed this view
        # while the store waited, but not that of every host.
        return ReadResult(since, self.cursor, list(changes.events), changed)

    async def read_all(self) -> ReadResult | StoreUnavailable:
        """Reads every entry, page by page."""
        asked_at = self.clock()
        view = self.view
        since, changes = view.revision, view.generation
        complete = since > 0 and not view.has_gap
        first_revision = 0
        next_key = ''
        names: set[str] = set()
        events: list[StoreEvent] = []
        while True:
            answer = await self.call(self.store.build_page_request(next_key))
            if isinstance(answer, StoreUnavailable):
                return self.note_lost(answer)
            page = self.store.parse_page(answer)
            if isinstance(page, StoreUnavailable):
                return self.note_lost(page)
            log_invalid(page.invalid)
            first_revision = first_revision or page.revision
            events += page.events
            names |= {entry.key.rpartition('/')[2] for entry in page.invalid}
            next_key = page.next_key
            if not next_key:
                break
        names |= {
            e.record.name for e in events if isinstance(e, ServerUpdated)
        }
        now = self.clock()
        complete = complete and (since, changes) == (
            view.revision,
            view.generation,
        )
        changed = view.apply_events(events, now)
        changed += view.retain(names, first_revision, now)
        self.cursor = first_revision
        view.advance(first_revision, asked_at)
        self.note_reached()
        if complete:
            return ReadResult(since, first_revision, changed, changed)
        # What others lack is not known here, so that whoever is behind asks.
        return ReadResult(first_revision, first_revision, [], changed)

    async def call(
        self, request: Request, wait_s: float = 0.0
    ) -> Response | StoreUnavailable:
        """Makes one call on the kept connection.

        Args:
            request: The call.
            wait_s: How long the store may wait before it answers.
        """
        loop = get_running_loop()
        connection = self.connection
        try:
            if connection is None or not connection.usable:
                connection = await open_connection(
                    self.address, CONNECT_TIMEOUT_S
                )
                self.connection = connection
            until = loop.time() + wait_s + CALL_TIMEOUT_S
            answer = await connection.exchange(request, until=until)
        except (ConnectFailed, ExchangeFailed, TimeoutError) as error:
            # A connection that lost an answer never gives another.
            if connection is not None:
                connection.close()
            self.connection = None
            STORE_CALLS.labels('failed').inc()
            return StoreUnavailable(f'{type(error).__name__}: {error}')
        STORE_CALLS.labels('answered').inc()
        return answer

    def note_lost(self, failure: StoreUnavailable) -> StoreUnavailable:
        """Logs when the store is lost, and returns the reason."""
        self.note(reachable=False, reason=failure.reason)
        return failure

    def note_reached(self) -> None:
        """Logs when the store is regained."""
        self.note(reachable=True, reason='')

    def note(self, *, reachable: bool, reason: str) -> None:
        """Logs a change of whether the store is in reach."""
        if reachable is self.reachable:
            return
        self.reachable = reachable
        LOG.info(
            'store regained' if reachable else 'store lost',
            extra={
                'reason': reason,
                'revision': self.view.revision,
                'view_age_ms': self.view.age_ms(self.clock()),
            },
        )


def log_invalid(entries: tuple[InvalidEntry, ...]) -> None:
    """Logs entries that can't be used."""
    for entry in entries:
        LOG.warning(
            'entry not usable',
            extra={
                'key': entry.key,
                'field': entry.field,
                'reason': entry.reason,
            },
        )
