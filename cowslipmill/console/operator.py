"""Who uses the console, by token or by session."""

from collections.abc import Iterable
from dataclasses import dataclass
from hmac import compare_digest

from msgspec import json
from msgspec import MsgspecError
from msgspec import Struct

from cowslipmill.console.signer import Signer
from cowslipmill.settings.settings import TokenSettings

SESSION_PURPOSE = 'session'


@dataclass(frozen=True, slots=True)
class Operator:
    """A person or program that has shown a token.

    Attributes:
        name: Name of the token.
        team: The only team that it may change, or None for every team.
    """

    name: str
    team: str | None


class Session(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A sign-in, kept by the browser.

    Attributes:
        token: Name of the token that was shown.
        ends_at: Unix seconds.
        nonce: Makes each sign-in differ.
    """

    token: str
    ends_at: float
    nonce: str


def find_operator(
    tokens: Iterable[TokenSettings], secret: str
) -> Operator | None:
    """Returns who a secret belongs to, in time that tells nothing."""
    given = secret.encode()
    found = None
    for token in tokens:
        if compare_digest(token.secret.encode(), given):
            found = Operator(token.name, token.team)
    return found


def open_session(
    signer: Signer,
    tokens: Iterable[TokenSettings],
    sealed: str,
    now: float,
) -> Operator | None:
    """Returns who a session belongs to.

    Args:
        signer: Checks the seal.
        tokens: Tokens of today: a session ends with its token.
        sealed: The session as the browser keeps it.
        now: Unix seconds.
    """
    content = signer.unseal(SESSION_PURPOSE, sealed)
    if content is None:
        return None
    try:
        session = json.decode(content, type=Session)
    except MsgspecError:
        return None
    if session.ends_at <= now:
        return None
    for token in tokens:
        if token.name == session.token:
            return Operator(token.name, token.team)
    return None
