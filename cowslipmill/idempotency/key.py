"""Keys that name the one entry process that may run their request."""

from dataclasses import dataclass
from hashlib import sha256
from hmac import compare_digest
from hmac import digest

MINTED_PREFIX = 'cm1_'
MAX_KEY_CHARS = 255
SIGNATURE_BYTES = 16


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key whose signature is right.

    Attributes:
        text: The whole key.
        entry: Name of the entry that minted it.
        incarnation: Incarnation of that entry.
        address: Where other entries reach it.
        expires_ms: When it expires, on that incarnation's own clock.
    """

    text: str
    entry: str
    incarnation: int
    address: str
    expires_ms: int


@dataclass(frozen=True, slots=True)
class CallerKey:
    """A key that the caller made up.

    Attributes:
        text: The whole key.
    """

    text: str


@dataclass(frozen=True, slots=True)
class InvalidKey:
    """A key that cannot be used.

    Attributes:
        detail: One sentence for the caller.
    """

    detail: str


class KeyIssuer:
    """Mints the keys of one incarnation of one entry.

    Attributes:
        entry: Name of the entry.
        incarnation: Its incarnation.
        address: Where other entries reach it.
        secret: Signs.
        sequence: Keys minted so far.
    """

    __slots__ = ('address', 'entry', 'incarnation', 'secret', 'sequence')

    def __init__(
        self, entry: str, incarnation: int, address: str, secret: str
    ) -> None:
        """Starts the sequence."""
        self.entry = entry
        self.incarnation = incarnation
        self.address = address
        self.secret = secret
        self.sequence = 0

    def issue(self, now: float, lifetime_ms: int) -> str:
        """Returns a key that was never minted before.

        Args:
            now: Monotonic seconds.
            lifetime_ms: How long the key may be used.
        """
        self.sequence += 1
        expires_ms = int(now * 1000) + lifetime_ms
        claim = (
            f'{MINTED_PREFIX}{self.entry}_{self.incarnation}'
            f'_{self.address}_{self.sequence}_{expires_ms}'
        )
        return f'{claim}_{sign(claim, self.secret)}'


def sign(claim: str, secret: str) -> str:
    """Returns the signature of a claim."""
    whole = digest(secret.encode(), b'key:' + claim.encode(), sha256)
    return whole[:SIGNATURE_BYTES].hex()


def parse_key(
    text: str, secrets: tuple[str, ...]
) -> IssuedKey | CallerKey | InvalidKey:
    """Returns what a key of a caller is.

    Args:
        text: The value of the header.
        secrets: All are accepted.
    """
    if not 0 < len(text) <= MAX_KEY_CHARS or not text.isascii():
        return InvalidKey(f'a key has 1 to {MAX_KEY_CHARS} ASCII characters')
    if not text.startswith(MINTED_PREFIX):
        return CallerKey(text)
    claim, _, signature = text.rpartition('_')
    if not any(
        compare_digest(sign(claim, secret), signature) for secret in secrets
    ):
        return InvalidKey('no entry of this deployment minted this key')
    entry, incarnation, address, _, expires_ms = claim.split('_')[1:]
    return IssuedKey(text, entry, int(incarnation), address, int(expires_ms))
