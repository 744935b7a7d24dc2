"""Settings of a process of stand-ins."""

from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.document.document import Name
from cowslipmill.hosts.noderecord import Address


class ServerSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """One stand-in backend server.

    Requests wait in a queue of `queue_limit` for one of the slots and then
    take an exponentially distributed time of mean `service_ms`.
    """

    name: Name
    service: Name
    failure_domain: Name
    address: Address
    slots: Annotated[int, Meta(ge=1)] = 6
    queue_limit: Annotated[int, Meta(ge=0)] = 64
    service_ms: Annotated[float, Meta(ge=0.0)] = 10.0
    cold_ms: Annotated[int, Meta(ge=0)] = 0
    cold_factor: Annotated[float, Meta(ge=1.0)] = 1.0
    seed: int = 1


class PassthroughSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A bare pass-through to servers in turn."""

    address: Address
    targets: Annotated[tuple[Address, ...], Meta(min_length=1)]


class FloodingCallersSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Callers that send without end.

    `stream` names a `CallerStream`; `target` and `host` are the path and the
    Host header of their requests.
    """

    address: Address
    stream: str
    target: str
    host: str
    count: Annotated[int, Meta(ge=1)] = 24


class FloodingServerSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A server of the platform that may flood hosts with its answers.

    `flood` names a `Stream`, or is `LARGE` for large bodies; if it is empty,
    the server answers as it should.
    """

    name: Name
    address: Address
    flood: str = ''
    slots: Annotated[int, Meta(ge=1)] = 16
    work_ms: Annotated[float, Meta(ge=0.0)] = 10.0


class StandinSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The stand-ins that one process runs."""

    name: Name
    platform: Address | None = None
    collector: Address | None = None
    passthrough: PassthroughSettings | None = None
    servers: tuple[ServerSettings, ...] = ()
    flooding_callers: FloodingCallersSettings | None = None
    flooding_servers: tuple[FloodingServerSettings, ...] = ()
