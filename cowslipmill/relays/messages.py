"""Messages of a host that sends a request by way of another one."""

from msgspec import Struct

from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.ratelimits import LimitReport

# Reasons for which a host refuses to send a request.
BUSY = 'busy'
STOPPING = 'stopping'
ISOLATED = 'isolated'
OUT_OF_REACH = 'server out of reach'
LEFT = 'server has left'
LIMITED = 'rate limit'
PAUSED = 'server pauses'


class AskRelay(Struct, frozen=True, array_like=True, tag='ask-relay'):
    """Asks a host to send a request; the reply is `RelayOffer`.

    Attributes:
        grant: The lease for the request.
        deadline_s: Seconds left until the caller stops waiting.
        body_bytes: Size of the request's body; 0 also if a host of an older
            build asks.
    """

    grant: Grant
    deadline_s: float
    body_bytes: int = 0


class RelayOffer(Struct, frozen=True, array_like=True, tag='relay-offer'):
    """Says whether a host will send a request.

    Attributes:
        refused: Why not; empty if it will.
        limit: What the host knows of the server's rate limit.
    """

    refused: str
    limit: LimitReport | None = None


class RelayRequest(Struct, frozen=True, array_like=True, tag='relay-request'):
    """A request to send; the reply is `RelayResponse` or `RelayFailure`.

    Attributes:
        key: Key of the lease, for which there is an offer.
        request_id: The request's id, empty if it has none.
        deadline_s: Seconds left until the caller stops waiting.
        method: The method.
        target: The path and query.
        headers: Pairs of lower-case name and value.
        body: The whole body.
    """

    key: LeaseKey
    request_id: str
    deadline_s: float
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class RelayResponse(
    Struct, frozen=True, array_like=True, tag='relay-response'
):
    """The server's response to a request that was sent for another host.

    Attributes:
        status: The status.
        headers: Pairs of lower-case name and value.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class RelayFailure(Struct, frozen=True, array_like=True, tag='relay-failure'):
    """A request that was to be sent for another host got no response.

    Attributes:
        sent: Whether the server may have got it.
        reason: Why, as written into the log.
        reset: Whether the connection to the server broke.
        idle: Whether the server had dropped the connection before.
        unreachable: Whether the server could not be reached.
    """

    sent: bool
    reason: str
    reset: bool = False
    idle: bool = False
    unreachable: bool = False


class CancelRelay(Struct, frozen=True, array_like=True, tag='cancel-relay'):
    """Cancels a request that is sent for the sender, or its offer.

    Attributes:
        key: Key of the lease.
    """

    key: LeaseKey


class AskRunning(Struct, frozen=True, array_like=True, tag='ask-running'):
    """Asks whether a server is running; the reply is `Running`.

    Attributes:
        server: The server's name.
        started_ms: Unix milliseconds of the server's start.
        doubted_s: Seconds since the sender has reason to doubt it.
    """

    server: str
    started_ms: int
    doubted_s: float = 0.0


class Running(Struct, frozen=True, array_like=True, tag='running'):
    """Says whether a server is running, in the same incarnation.

    Attributes:
        running: Whether it is; None if the host can't tell.
        unclear: Whether it accepts connections, but doesn't respond.
        proved: Whether it is known not to have restarted since the doubt.
    """

    running: bool | None
    unclear: bool = False
    proved: bool = False
