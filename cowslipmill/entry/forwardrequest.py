"""Requests in the form that entries pass on to each other."""

from msgspec import Struct

from cowslipmill.document.document import Route
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.idempotency.fingerprint import fingerprint
from cowslipmill.idempotency.messages import ForwardRequest


class EntryEndpoint(Struct, frozen=True):
    """An incarnation of an entry and where it is reached."""

    address: str
    incarnation: int


def build_forward_request(
    route: Route,
    request: OutgoingRequest,
    endpoint: EntryEndpoint,
    key: str,
    deadline_ms: int,
) -> ForwardRequest:
    """Returns the message that has another entry serve a request.

    Args:
        route: The request's route.
        request: What is sent to the server.
        endpoint: The incarnation that must serve it.
        key: Its idempotency key, or empty for a suspect's trial.
        deadline_ms: Time left.
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
    """Returns the headers in types that a message can carry."""
    return tuple(
        (str(name), str(value)) for name, value in request.headers.items()
    )


def request_fingerprint(route: Route, request: OutgoingRequest) -> bytes:
    """Returns the hash by which a request is known again."""
    return fingerprint(
        route.name, request.method, request.target, request.body
    )
