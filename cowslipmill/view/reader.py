"""Reads the platform's store and keeps a view up to date."""

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
from cowslipmill.http1.serverconnection import ResponseTooLarge
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.view.events import EntryChanges
from cowslipmill.view.events import EntryPage
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import HistoryCompacted
from cowslipmill.view.events import InvalidEntry
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.events import StoreUnavailable
from cowslipmill.view.view import View

LOG = getLogger(__name__)

# The store responds within a few milliseconds, at its slowest within 0.4 s.
CALL_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.4
# How long the store may wait for a change. Leaving servers and new
# configurations have to be known within 2 s, also if this host's connection
# stalls and another host has to take over reading.
WATCH_S = 0.8
# Pages of a full read, of some 500 entries each.
MAX_PAGES = 64

STORE_CALLS = Counter(
    'cowslipmill_host_store_calls_total',
    'Calls to the store by how they ended.',
    ('result',),
)


class StoreApi(Protocol):
    """Builds the requests to the store and parses its responses."""

    def build_page_request(self, after_key: str) -> Request:
        """Returns the request for one page of a full read.

        Args:
            after_key: Key after which the page begins; empty for the first.
        """

    def build_changes_request(self, revision: int, wait_s: float) -> Request:
        """Returns the request for the changes since a revision.

        Args:
            revision: The revision.
            wait_s: Seconds that the store may wait for a change.
        """

    def parse_page(self, response: Response) -> EntryPage | StoreUnavailable:
        """Returns the page in a response."""

    def parse_changes(
        self, response: Response
    ) -> EntryChanges | HistoryCompacted | StoreUnavailable:
        """Returns the changes in a response."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The result of a successful read of the store.

    Attributes:
        since: Revision that a view must have for `updates` to be complete.
        revision: Revision of such a view after `updates`.
        updates: Events to send to the other hosts.
        applied: Events that changed this host's view.
    """

    since: int
    revision: int
    updates: list[StoreEvent]
    applied: list[StoreEvent]


class StoreReader:
    """Reads the store and applies the changes to a view.

    Attributes:
        address: IP address and port of the store.
        store: Builds requests and parses responses.
        view: The view.
        clock: Returns monotonic seconds.
        memory: The budget that responses count against; None for no limit.
        connection: The persistent connection to the store, if one is open.
        cursor: Revision from which the next read continues; 0 before the
            first read.
        reachable: Whether the last read succeeded; None before the first one.
    """

    def __init__(
        self,
        address: tuple[str, int],
        store: StoreApi,
        view: View,
        clock: Callable[[], float],
        memory: MemoryBudget | None = None,
    ) -> None:
        """Makes a reader; the first read opens the connection."""
        self.address = address
        self.store = store
        self.view = view
        self.clock = clock
        self.memory = memory
        self.connection: ServerConnection | None = None
        self.cursor = 0
        self.reachable: bool | None = None

    async def read(self) -> ReadResult | StoreUnavailable:
        """Reads the changes since the last read, or everything at first.

        Other hosts' updates may have advanced the view beyond this host's
        last read; reading then continues from the view's revision. Falls back
        to a full read if the store has dropped that part of its history or
        returns fewer changes than there are revisions. After updates of hosts
        of an older build, which tell of no evacuations, it continues from the
        revision up to which these are known.
        """
        if not self.view.complete_revision:
            return await self.read_all()
        since = max(self.cursor, self.view.revision)
        since = min(since, self.view.evacuations.known_until)
        self.cursor = since
        request = self.store.build_changes_request(since, WATCH_S)
        response = await self.call(request, WATCH_S)
        if isinstance(response, StoreUnavailable):
            if response.too_large:
                LOG.info('changes too large', extra={'revision': since})
                return await self.read_all()
            return self.on_store_lost(response)
        changes = self.store.parse_changes(response)
        if isinstance(changes, StoreUnavailable):
            return self.on_store_lost(changes)
        if isinstance(changes, HistoryCompacted):
            LOG.info('history gone', extra={'revision': since})
            return await self.read_all()
        log_invalid(changes.invalid)
        if changes.count < changes.revision - since:
            LOG.info('changes missing', extra={'revision': since})
            return await self.read_all()
        now = self.clock()
        self.cursor = max(since, changes.revision)
        applied = self.view.apply_events(changes.events, now)
        self.view.advance(self.cursor, now)
        self.on_store_reached()
        # The updates hold all events, not only those that changed this view:
        # while the store waited, another host may have updated this view, but
        # not that of every other host.
        return ReadResult(since, self.cursor, list(changes.events), applied)

    async def read_all(self) -> ReadResult | StoreUnavailable:
        """Reads every entry, page by page.

        The result has updates only if they are complete, that is if the view
        was not empty and had no gap when the read began, and other hosts have
        not changed it meanwhile.
        """
        started_at = self.clock()
        view = self.view
        since, generation = view.revision, view.generation
        updates_complete = since > 0 and not view.has_gap
        first_revision = 0
        next_key = ''
        invalid_names: set[str] = set()
        events: list[StoreEvent] = []
        for _ in range(MAX_PAGES):
            response = await self.call(self.store.build_page_request(next_key))
            if isinstance(response, StoreUnavailable):
                return self.on_store_lost(response)
            page = self.store.parse_page(response)
            if isinstance(page, StoreUnavailable):
                return self.on_store_lost(page)
            log_invalid(page.invalid)
            first_revision = first_revision or page.revision
            events += page.events
            # A server whose entry is invalid is not missing, and an evacuation
            # has not ended. The name is the last part of the entry's key.
            invalid_names |= {
                entry.key.rpartition('/')[2] for entry in page.invalid
            }
            next_key = page.next_key
            if not next_key:
                break
        else:
            return self.on_store_lost(StoreUnavailable('too many pages'))
        names = invalid_names | {
            event.record.name
            for event in events
            if isinstance(event, ServerUpdated)
        }
        evacuated = invalid_names | {
            event.failure_domain
            for event in events
            if isinstance(event, EvacuationChanged)
        }
        now = self.clock()
        updates_complete = updates_complete and (since, generation) == (
            view.revision,
            view.generation,
        )
        applied = view.apply_events(events, now)
        applied += view.mark_missing(names, first_revision, now)
        ended = view.evacuations.find_ended(evacuated, first_revision)
        applied += view.apply_events(ended, now)
        self.cursor = first_revision
        view.advance(first_revision, started_at)
        self.on_store_reached()
        if updates_complete:
            return ReadResult(since, first_revision, applied, applied)
        # Which events the other hosts lack is not known, so only the revision
        # is sent; hosts that are behind it ask for a snapshot.
        return ReadResult(first_revision, first_revision, [], applied)

    async def call(
        self, request: Request, wait_s: float = 0.0
    ) -> Response | StoreUnavailable:
        """Sends one request on the persistent connection.

        Args:
            request: The request.
            wait_s: Seconds that the store may wait before it responds.

        Returns:
            The response, or the reason why none came in time.
        """
        loop = get_running_loop()
        connection = self.connection
        try:
            if connection is None or not connection.usable:
                connection = await open_connection(
                    self.address, CONNECT_TIMEOUT_S, memory=self.memory
                )
                self.connection = connection
            until = loop.time() + wait_s + CALL_TIMEOUT_S
            response = await connection.exchange(request, until=until)
        except (ConnectFailed, ExchangeFailed, TimeoutError) as error:
            # A connection on which one response was lost delivers no other.
            if connection is not None:
                connection.close()
            self.connection = None
            STORE_CALLS.labels('failed').inc()
            too_large = isinstance(error, ResponseTooLarge)
            reason = f'{type(error).__name__}: {error}'
            return StoreUnavailable(reason, too_large)
        STORE_CALLS.labels('answered').inc()
        return response

    def on_store_lost(self, failure: StoreUnavailable) -> StoreUnavailable:
        """Logs that the store became unreachable; returns the failure."""
        self.log_reachability(reachable=False, reason=failure.reason)
        return failure

    def on_store_reached(self) -> None:
        """Logs that the store became reachable."""
        self.log_reachability(reachable=True, reason='')

    def log_reachability(self, *, reachable: bool, reason: str) -> None:
        """Logs whether the store is reachable, if that changed.

        Args:
            reachable: Whether the read succeeded.
            reason: Why it failed; empty if it succeeded.
        """
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
    """Logs entries that could not be decoded."""
    for entry in entries:
        LOG.warning(
            'entry not usable',
            extra={
                'key': entry.key,
                'field': entry.field,
                'reason': entry.reason,
            },
        )
