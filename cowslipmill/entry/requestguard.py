"""Handles idempotency keys and suspect requests before dispatching."""

from collections.abc import Callable
from time import time_ns

from multidict import CIMultiDict
from opentelemetry.trace import SpanKind

from cowslipmill.choice.server import Server
from cowslipmill.document.document import Route
from cowslipmill.entry.crashreporter import CrashReporter
from cowslipmill.entry.dispatcher import Dispatcher
from cowslipmill.entry.forwardrequest import build_forward_request
from cowslipmill.entry.forwardrequest import EntryEndpoint
from cowslipmill.entry.forwardrequest import request_fingerprint
from cowslipmill.entry.keyedrequests import KeyedRequests
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.idempotency.key import CallerKey
from cowslipmill.idempotency.key import InvalidKey
from cowslipmill.idempotency.key import IssuedKey
from cowslipmill.idempotency.key import KeyIssuer
from cowslipmill.idempotency.key import parse_key
from cowslipmill.idempotency.keyowner import find_owner
from cowslipmill.idempotency.messages import ForwardedOutcome
from cowslipmill.idempotency.messages import ForwardRequest
from cowslipmill.idempotency.messages import message_to_outcome
from cowslipmill.idempotency.messages import NotOwner
from cowslipmill.idempotency.messages import outcome_to_message
from cowslipmill.outcomes.headers import KEY_HEADER
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown
from cowslipmill.peers.link import Unreachable
from cowslipmill.settings.settings import EntrySettings
from cowslipmill.suspects.suspects import Trial

RETRY_AFTER_MS = 1_000
FORWARD_MARGIN_MS = 20
DEFAULT_RETENTION_MS = 600_000


class RequestGuard:
    """Wraps the dispatcher with two further guarantees.

    A non-idempotent request with an issued key runs at most once in the
    fleet, and a request that crashed servers is refused.

    Attributes:
        routing_state: Routes, servers and members in use.
        dispatcher: Sends requests to servers.
        peering: Messages to other entries.
        key_issuer: Issues the idempotency keys of this process.
        secrets: Secrets whose keys are accepted; the first one signs.
        keyed_requests: Requests whose key is owned by this process.
        crash_reporter: Suspect requests, shared with the other entries.
        clock: Returns monotonic seconds.
    """

    __slots__ = (
        'clock',
        'crash_reporter',
        'dispatcher',
        'key_issuer',
        'keyed_requests',
        'peering',
        'routing_state',
        'secrets',
    )

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: int,
        routing_state: RoutingState,
        dispatcher: Dispatcher,
        peering: Peering,
        clock: Callable[[], float],
    ) -> None:
        """Registers the handler of forwarded requests."""
        self.routing_state = routing_state
        self.dispatcher = dispatcher
        self.peering = peering
        self.clock = clock
        self.secrets = settings.peer_keys
        self.key_issuer = KeyIssuer(
            settings.name, incarnation, settings.peer_listen, self.secrets[0]
        )
        self.keyed_requests = KeyedRequests(clock)
        self.crash_reporter = CrashReporter(
            settings.name, routing_state, peering, clock
        )
        dispatcher.on_server_lost = self.on_server_lost
        peering.register(ForwardRequest, self.on_forward_request)

    def next_key(self) -> str:
        """Returns a new idempotency key for a caller."""
        return self.key_issuer.issue(self.clock(), self.outcome_retention_ms())

    async def dispatch(
        self, route: Route, request: OutgoingRequest, deadline_at: float
    ) -> Outcome:
        """Serves one request of a caller and returns its outcome.

        Args:
            route: The route of the request.
            request: The request to send.
            deadline_at: When the caller stops waiting, monotonic seconds.
        """
        text = request.headers.get(KEY_HEADER)
        if route.idempotent or text is None:
            return await self.serve(route, request, deadline_at)
        key = parse_key(text, self.secrets)
        if isinstance(key, InvalidKey):
            return NotRun(Reason.KEY_INVALID, 0, key.detail)
        if isinstance(key, CallerKey):
            return await self.serve_caller_key(
                key, route, request, deadline_at
            )
        if not self.is_owner(key):
            endpoint = EntryEndpoint(key.address, key.incarnation)
            return await self.forward(
                route, request, deadline_at, endpoint, key.text
            )
        return await self.serve_as_owner(key, route, request, deadline_at)

    async def serve_caller_key(
        self,
        key: CallerKey,
        route: Route,
        request: OutgoingRequest,
        deadline_at: float,
    ) -> Outcome:
        """Serves a request with a key that the caller chose itself."""
        now_ms = time_ns() // 1_000_000
        owner = find_owner(
            key.text,
            self.routing_state.members,
            self.outcome_retention_ms(),
            now_ms,
        )
        if owner is None:
            detail = 'the entry that remembered the key was lost'
            return Unknown(Reason.KEY_HOME_GONE, RETRY_AFTER_MS, detail)
        if owner.name == self.key_issuer.entry:
            return await self.serve_as_owner(key, route, request, deadline_at)
        endpoint = EntryEndpoint(owner.peer_address, owner.incarnation)
        return await self.forward(
            route, request, deadline_at, endpoint, key.text
        )

    def outcome_retention_ms(self) -> int:
        """Returns how long outcomes are kept for retries."""
        if self.routing_state.document is None:
            return DEFAULT_RETENTION_MS
        return self.routing_state.document.resend_memory_ms

    def is_owner(self, key: IssuedKey) -> bool:
        """Tells whether this incarnation issued a key."""
        issuer = self.key_issuer
        return (key.entry, key.incarnation) == (
            issuer.entry,
            issuer.incarnation,
        )

    async def serve_as_owner(
        self,
        key: IssuedKey | CallerKey,
        route: Route,
        request: OutgoingRequest,
        deadline_at: float,
    ) -> Outcome:
        """Serves a request whose key is owned by this entry."""
        expires_at = deadline_at + self.outcome_retention_ms() / 1000
        if isinstance(key, IssuedKey):
            expires_at = key.expires_ms / 1000
        if self.clock() >= expires_at:
            detail = 'the key has expired and its outcome is not remembered'
            return Unknown(Reason.KEY_HOME_GONE, 0, detail)
        return await self.keyed_requests.serve(
            key.text,
            request_fingerprint(route, request),
            expires_at,
            lambda: self.serve(route, request, deadline_at),
        )

    async def serve(
        self, route: Route, request: OutgoingRequest, deadline_at: float
    ) -> Outcome:
        """Dispatches a request; a suspect one is left to its owner.

        Waits while this entry doesn't know yet which ones are.
        """
        if not self.crash_reporter.caught_up.is_set():
            if not await self.crash_reporter.wait_until_caught_up(deadline_at):
                return NotRun(Reason.DEADLINE, RETRY_AFTER_MS)
        fingerprint = request_fingerprint(route, request)
        if not self.crash_reporter.suspects.is_suspect(fingerprint):
            return await self.dispatcher.dispatch(route, request, deadline_at)
        owner = self.crash_reporter.find_owner(fingerprint)
        if owner is None:
            return await self.serve_suspect(
                fingerprint, route, request, deadline_at
            )
        endpoint = EntryEndpoint(owner.peer_address, owner.incarnation)
        return await self.forward(route, request, deadline_at, endpoint, '')

    async def serve_suspect(
        self,
        fingerprint: bytes,
        route: Route,
        request: OutgoingRequest,
        deadline_at: float,
    ) -> Outcome:
        """Serves a suspect request as its owner, one trial at a time."""
        if not self.crash_reporter.caught_up.is_set():
            if not await self.crash_reporter.wait_until_caught_up(deadline_at):
                return NotRun(Reason.DEADLINE, RETRY_AFTER_MS)
        decision = self.crash_reporter.check(fingerprint)
        if isinstance(decision, NotRun):
            return decision
        outcome = await self.dispatcher.dispatch(route, request, deadline_at)
        if isinstance(outcome, Answered):
            self.crash_reporter.clear(fingerprint)
        elif isinstance(decision, Trial) and isinstance(outcome, NotRun):
            self.crash_reporter.suspects.return_trial(fingerprint)
        return outcome

    def on_server_lost(
        self, route: Route, request: OutgoingRequest, server: Server
    ) -> None:
        """Reports a crash: a server was lost while it had a request."""
        self.crash_reporter.report_crash(
            request_fingerprint(route, request), server
        )

    async def forward(
        self,
        route: Route,
        request: OutgoingRequest,
        deadline_at: float,
        endpoint: EntryEndpoint,
        key: str,
    ) -> Outcome:
        """Forwards a request to its owner and returns the outcome.

        Args:
            route: The route of the request.
            request: The request to send.
            deadline_at: When the caller stops waiting, monotonic seconds.
            endpoint: The owner.
            key: The idempotency key, or '' for a suspect request.
        """
        traces = self.dispatcher.traces
        with traces.span('pass on', SpanKind.CLIENT):
            traces.inject(request.headers)
            return await self.call_owner(
                route, request, deadline_at, endpoint, key
            )

    async def call_owner(
        self,
        route: Route,
        request: OutgoingRequest,
        deadline_at: float,
        endpoint: EntryEndpoint,
        key: str,
    ) -> Outcome:
        """Calls the owner; the arguments are those of `forward`.

        The owner gets a deadline that is `FORWARD_MARGIN_MS` earlier.
        """
        remaining_s = deadline_at - self.clock()
        deadline_ms = max(0, int(remaining_s * 1000) - FORWARD_MARGIN_MS)
        message = build_forward_request(
            route, request, endpoint, key, deadline_ms
        )
        reply = await self.peering.call(endpoint.address, message, remaining_s)
        if isinstance(reply, ForwardedOutcome):
            return message_to_outcome(reply)
        if key:
            detail = 'the entry that minted the key is out of reach'
            return Unknown(Reason.KEY_HOME_GONE, RETRY_AFTER_MS, detail)
        if isinstance(reply, Unreachable) and reply.sent:
            return Unknown(Reason.SUSPECT, RETRY_AFTER_MS)
        return NotRun(Reason.SUSPECT, RETRY_AFTER_MS)

    async def on_forward_request(
        self, message: ForwardRequest, peer: str
    ) -> ForwardedOutcome | NotOwner:
        """Serves a request that another entry forwarded, within a span."""
        with self.dispatcher.traces.span(
            'request passed on',
            SpanKind.SERVER,
            carrier=CIMultiDict(message.headers),
            attributes={'route': message.route, 'peer': peer},
        ):
            return await self.serve_forwarded(message)

    async def serve_forwarded(
        self, message: ForwardRequest
    ) -> ForwardedOutcome | NotOwner:
        """Serves a forwarded request; `NotOwner` if this is not its owner."""
        if message.incarnation != self.key_issuer.incarnation:
            return NotOwner()
        route = self.find_route(message.route)
        if route is None:
            return outcome_to_message(NotRun(Reason.NO_ROUTE, 0))
        request = OutgoingRequest(
            message.method,
            message.target,
            CIMultiDict(message.headers),
            message.body,
            route.max_answer_bytes,
        )
        deadline_at = self.clock() + message.deadline_ms / 1000
        if not message.key:
            fingerprint = request_fingerprint(route, request)
            return outcome_to_message(
                await self.serve_suspect(
                    fingerprint, route, request, deadline_at
                )
            )
        key = parse_key(message.key, self.secrets)
        if isinstance(key, InvalidKey):
            return NotOwner()
        if isinstance(key, IssuedKey) and not self.is_owner(key):
            return NotOwner()
        outcome = await self.serve_as_owner(key, route, request, deadline_at)
        return outcome_to_message(outcome)

    def find_route(self, name: str) -> Route | None:
        """Returns the route with this name, or None."""
        if self.routing_state.document is None:
            return None
        for route in self.routing_state.document.routes:
            if route.name == name:
                return route
        return None

    async def drain(self, timeout_s: float) -> None:
        """Waits up to `timeout_s` for the keyed requests that still run."""
        await self.keyed_requests.drain(timeout_s)
