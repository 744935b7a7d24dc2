"""Settings of each kind of process.

They hold the addresses and the failure domain of the process and the addresses
of its peers. How requests are handled is configured by the document.
"""

from typing import Annotated

from msgspec import field
from msgspec import Meta
from msgspec import Struct

from cowslipmill.choice.rule import Rule
from cowslipmill.document.document import Name
from cowslipmill.document.document import Share
from cowslipmill.hosts.noderecord import Address

Url = Annotated[str, Meta(pattern=r'^http://[^/\s]+$')]
DurationMs = Annotated[int, Meta(ge=0, le=3_600_000)]
PeerKey = Annotated[str, Meta(min_length=32, max_length=256)]


class TraceSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Where spans go and how many requests are traced."""

    collector: Url | None = None
    sampled_share: Share = 0.0


class EntrySettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of one entry process.

    `peer_keys` are shared by all hosts: the first signs, all are accepted.
    `choice` is for comparison only; the rules other than `cowslipmill` keep
    no limits.
    """

    name: Name
    host: Name
    failure_domain: Name
    deployment: Name
    listen: Address
    admin_listen: Address
    peer_listen: Address
    agent: Address
    peer_keys: Annotated[tuple[PeerKey, ...], Meta(min_length=1)]
    traces: TraceSettings = field(default_factory=TraceSettings)
    choice: Rule = Rule.COWSLIPMILL
    readiness_wait_ms: DurationMs = 2_000
    stop_bound_ms: DurationMs = 30_000


class AgentSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the one agent of an entry host."""

    host: Name
    failure_domain: Name
    deployment: Name
    peer_listen: Address
    feed_listen: Address
    admin_listen: Address
    platform: Url
    peer_keys: Annotated[tuple[PeerKey, ...], Meta(min_length=1)]
    peers: tuple[Address, ...] = ()
    traces: TraceSettings = field(default_factory=TraceSettings)
    stop_bound_ms: DurationMs = 10_000


class TokenSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A token for the console and its API.

    Attributes:
        name: Who uses it; shown to other operators.
        team: The one team that it may change, or None for every team.
        secret: What the operator signs in with.
    """

    name: Name
    secret: PeerKey
    team: Name | None = None


class ConsoleSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a console.

    Consoles that share `signing_keys` take over each other's drafts: the
    first signs, all are accepted. `secure_cookies` needs TLS in front.

    Attributes:
        name: Name of the process in logs.
        deployment: The deployment that it configures.
        listen: Where it serves forms and API.
        platform: Where it reads the document in force and the host list.
        agents: Administration addresses of the agents.
        entries: Administration addresses of entries, for the fleet page.
        tokens: Who may sign in.
        signing_keys: Keys for drafts and sessions.
        secure_cookies: Whether browsers send cookies over TLS only.
        session_ms: How long a sign-in lasts.
    """

    name: Name
    deployment: Name
    listen: Address
    platform: Url
    agents: tuple[Address, ...]
    entries: tuple[Address, ...] = ()
    tokens: Annotated[tuple[TokenSettings, ...], Meta(min_length=1)]
    signing_keys: Annotated[tuple[PeerKey, ...], Meta(min_length=1)]
    secure_cookies: bool = True
    session_ms: Annotated[int, Meta(ge=60_000, le=86_400_000)] = 28_800_000
