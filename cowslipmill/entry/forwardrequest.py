"""Builds the messages by which entries forward requests to each other."""

from msgspec import Struct

from cowslipmill.document.document import Route
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.idempotency.fingerprint import fingerprint
from cowslipmill.idempotency.messages import ForwardRequest


class EntryEndpoint(Struct, frozen=True):
    """An incarnation of an entry and its peer address."""

    address: str
    incarnation: int


def build_forward_request(
    route: Route,
    request: OutgoingRequest,
    endpoint: EntryEndpoint,
    key: str,
    deadline_ms: int,
) -> ForwardRequest:
    """Returns the message that forwards a request to its owner.

    Args:
        route: The route of the request.
        request: The request to send to the server.
        endpoint: The incarnation that must serve it.
        key: Its idempotency key, or '' for a suspect request.
        deadline_ms: Remaining time, milliseconds.
    """
    return ForwardRequest(
        key=key,
        incarnation=endpoint.incarnation,
        route=route.name,
        method=request.method,
        target=request.target,
        headers=plain_headers(request),
        body=request.body,
        deadline_ms=deadline_ms,
    )


def plain_headers(request: OutgoingRequest) -> tuple[tuple[str, str], ...]:
    """Returns the headers as plain strings, which can be serialized."""
    return tuple(
        (str(name), str(value)) for name, value in request.headers.items()
    )


def request_fingerprint(route: Route, request: OutgoingRequest) -> bytes:
    """Returns the hash that identifies equal requests."""
    return fingerprint(
        route.name, request.method, request.target, request.body
    )
